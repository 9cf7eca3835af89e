#include "http/httplistener.h"
#include "http/httpserialization.h"
#include "http/tests/loopfixture.h"

#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <future>
#include <memory>
#include <optional>
#include <vector>

namespace lycheebay {

using namespace std::chrono_literals;

/// Callers that are slow, that read nothing or that send too much.
class CallerLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerLimitsTest);
    CPPUNIT_TEST(slowBodyIsNotHeldToTheTimeOfTheHead);
    CPPUNIT_TEST(callerThatTakesNoByteIsClosed);
    CPPUNIT_TEST(interimResponseDoesNotStopTheLoop);
    CPPUNIT_TEST(refusalReachesACallerThatStillSends);
    CPPUNIT_TEST(requestOverTheLimitIsRefusedWithoutItsBody);
    CPPUNIT_TEST(stalledRequestGivesWayAtTheLimit);
    CPPUNIT_TEST_SUITE_END();

    using Socket = asio::ip::tcp::socket;

    LoopFixture m_loop;
    std::unique_ptr<HttpListener> m_listener;

    void serve(HttpListener::Handler handler, const HttpListenerLimits &limits = {})
    {
        m_listener = std::make_unique<HttpListener>(m_loop.context, m_loop.timers, m_loop.clock,
                                                    std::move(handler));
        m_listener->setLimits(limits);
        CPPUNIT_ASSERT(m_listener->start({ "127.0.0.1", 0 }).ok());
    }

    static void respondOk(const IntrusivePtr<HttpExchange> &exchange)
    {
        exchange->respond(jsonResponse(200, "{}"));
    }

    /// Connects a caller whose reads and writes do not use the loop of the listener.
    Socket connect(asio::io_context &context, int receiveBuffer = 0)
    {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                               m_listener->port());
        Socket socket(context, endpoint.protocol());
        if (receiveBuffer > 0)
            socket.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        socket.connect(endpoint);
        socket.set_option(asio::ip::tcp::no_delay(true));
        return socket;
    }

    static void send(Socket &socket, const std::string &text)
    {
        asio::write(socket, asio::buffer(text));
    }

    /// Returns the first line of what the caller reads; empty if its connection ended.
    std::string firstLine(Socket &socket)
    {
        std::string text;
        std::array<char, 1024> buffer{};
        socket.non_blocking(true);
        m_loop.runUntil([&] {
            asio::error_code ec;
            const std::size_t n = socket.read_some(asio::buffer(buffer), ec);
            text.append(buffer.data(), n);
            return text.find("\r\n") != std::string::npos || (ec && ec != asio::error::would_block);
        });
        return text.substr(0, text.find("\r\n"));
    }

    static std::string post(std::size_t length, const std::string &fields = {})
    {
        return "POST / HTTP/1.1\r\nHost: test\r\n" + fields
               + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
    }

    /// Runs the handlers that are ready.
    void poll()
    {
        m_loop.context.restart();
        m_loop.context.poll();
    }

public:
    void tearDown() override { m_listener.reset(); }

    void slowBodyIsNotHeldToTheTimeOfTheHead()
    {
        HttpListenerLimits limits;
        limits.head = 100ms;
        serve(&CallerLimitsTest::respondOk, limits);
        asio::io_context context;
        Socket caller = connect(context);
        send(caller, post(2) + "a");
        m_loop.runFor(1500ms);
        send(caller, "b");
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200 OK"), firstLine(caller));
    }

    // The response stays in memory, and its connection occupied, as long as the caller likes.
    void callerThatTakesNoByteIsClosed()
    {
        HttpListenerLimits limits;
        limits.idle = 200ms;
        serve(
                [](const IntrusivePtr<HttpExchange> &it) {
                    it->respond({ 200, {}, std::string(20UL << 20U, 'x') });
                },
                limits);
        asio::io_context context;
        Socket caller = connect(context, 4096);
        send(caller, "GET / HTTP/1.1\r\nHost: test\r\n\r\n");
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return m_listener->connectionCount() == 1; }));
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return m_listener->connectionCount() == 0; }));
    }

    // Fills the buffer of a connection with small responses until the listener cannot send, many
    // times, so that the interim response is what finds no room now and then.
    void interimResponseDoesNotStopTheLoop()
    {
        constexpr int kFills = 40;
        std::size_t handled = 0;
        serve([&](const IntrusivePtr<HttpExchange> &it) {
            ++handled;
            it->respond({ 204, {}, {} });
        });
        asio::io_context context;
        Socket caller = connect(context, 4096);
        std::promise<void> done;
        // Resets the connection, and with it a call of the listener that waits for the caller.
        std::future<bool> watchdog = std::async(std::launch::async, [&] {
            const bool isDone = done.get_future().wait_for(20s) == std::future_status::ready;
            if (!isDone) {
                caller.set_option(asio::socket_base::linger(true, 0));
                caller.close();
            }
            return isDone;
        });
        asio::error_code ec;
        std::array<char, 16384> buffer{};
        for (int fills = 0; fills < kFills && !ec;) {
            const std::size_t before = handled;
            asio::write(caller, asio::buffer(post(1, "Expect: 100-continue\r\n")), ec);
            poll();
            asio::write(caller, asio::buffer("x", 1), ec);
            poll();
            if (handled > before)
                continue;
            ++fills;
            while (handled == before && !ec) {
                caller.read_some(asio::buffer(buffer), ec);
                poll();
            }
        }
        done.set_value();
        CPPUNIT_ASSERT(watchdog.get());
    }

    // Guards against a reset that ends the caller's sending before it reads the status.
    void refusalReachesACallerThatStillSends()
    {
        constexpr std::size_t kBodyBytes = 600'000;
        HttpListenerLimits limits;
        limits.message.bodyBytes = 1000;
        serve(&CallerLimitsTest::respondOk, limits);
        Socket caller = connect(m_loop.context);
        const std::string request = post(kBodyBytes) + std::string(kBodyBytes, 'x');
        std::optional<asio::error_code> sent;
        asio::async_write(caller, asio::buffer(request),
                          [&](asio::error_code ec, std::size_t) { sent = ec; });
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return sent.has_value(); }));
        CPPUNIT_ASSERT_EQUAL(std::string("Success"), sent->message());
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 413 Payload Too Large"), firstLine(caller));
    }

    void requestOverTheLimitIsRefusedWithoutItsBody()
    {
        std::vector<IntrusivePtr<HttpExchange>> held;
        HttpListenerLimits limits;
        limits.connections = 1;
        limits.overLimit = 1;
        serve(
                [&](const IntrusivePtr<HttpExchange> &it) {
                    if (it->isOverLimit())
                        it->respond(jsonResponse(503, "{}"));
                    else
                        held.push_back(it);
                },
                limits);
        asio::io_context context;
        Socket first = connect(context);
        send(first, post(0));
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return held.size() == 1; }));
        Socket second = connect(context);
        send(second, post(1000));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503 Service Unavailable"), firstLine(second));
        held.clear();
    }

    // Guards against callers that occupy every connection with requests they never complete.
    void stalledRequestGivesWayAtTheLimit()
    {
        HttpListenerLimits limits;
        limits.connections = 1;
        serve(
                [](const IntrusivePtr<HttpExchange> &it) {
                    CPPUNIT_ASSERT(!it->isOverLimit());
                    respondOk(it);
                },
                limits);
        asio::io_context context;
        Socket stalled = connect(context);
        send(stalled, post(2) + "a");
        m_loop.runFor(700ms);
        Socket caller = connect(context);
        send(caller, post(0));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200 OK"), firstLine(caller));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerLimitsTest);

} // namespace lycheebay
