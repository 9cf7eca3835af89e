#include "http/httpclientconnection.h"
#include "http/httpconnectionpool.h"
#include "http/httplistener.h"
#include "http/httpserialization.h"
#include "http/tests/endlessserver.h"
#include "http/tests/heapbytes.h"
#include "http/tests/loopfixture.h"

#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

class HttpConnectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpConnectionTest);
    CPPUNIT_TEST(exchangesFollowEachOtherFromTheCallback);
    CPPUNIT_TEST(refusedConnectionIsNotSent);
    CPPUNIT_TEST(silentServerIsNoticedByTheCaller);
    CPPUNIT_TEST(responseOfAnotherRequestIsDropped);
    CPPUNIT_TEST(extraBytesEndTheConnection);
    CPPUNIT_TEST(answerThatEndsEarlyIsNotTakenForComplete);
    CPPUNIT_TEST(resetDuringAnUploadIsNotTheEndOfTheAnswer);
    CPPUNIT_TEST(endDuringAnUploadIsNotTheEndOfTheAnswer);
    CPPUNIT_TEST(answerWithALengthIsCompleteDuringAnUpload);
    CPPUNIT_TEST(answerWithoutLengthIsCompleteAfterAnUpload);
    CPPUNIT_TEST(idleConnectionsHoldNoMessages);
    CPPUNIT_TEST(callerThatLeavesIsNoticed);
    CPPUNIT_TEST(requestOfACallerThatHasLeftIsDropped);
    CPPUNIT_TEST(droppedRequestEndsItsConnection);
    CPPUNIT_TEST(badRequestsGetAnErrorAndTheListenerLives);
    CPPUNIT_TEST(connectionsOverTheLimitGetAnAnswer);
    CPPUNIT_TEST(idleConnectionGivesWayAtTheLimit);
    CPPUNIT_TEST_SUITE_END();

    using Connection = IntrusivePtr<HttpClientConnection>;

    LoopFixture m_loop;
    std::unique_ptr<HttpListener> m_listener;

    Address serve(HttpListener::Handler handler)
    {
        m_listener = std::make_unique<HttpListener>(m_loop.context, m_loop.timers, m_loop.clock,
                                                    std::move(handler));
        CPPUNIT_ASSERT(m_listener->start({ "127.0.0.1", 0 }).ok());
        return { "127.0.0.1", m_listener->port() };
    }

    /// Accepts one connection and answers its first bytes with \a reply, whatever they are.
    Address serveRaw(std::string reply, bool closes = false)
    {
        auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(
                m_loop.context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        auto socket = std::make_shared<asio::ip::tcp::socket>(m_loop.context);
        acceptor->async_accept(*socket, [acceptor, socket, reply, closes](asio::error_code) {
            auto buffer = std::make_shared<std::array<char, 4096>>();
            socket->async_read_some(asio::buffer(*buffer), [socket, buffer, reply,
                                                            closes](asio::error_code, std::size_t) {
                asio::write(*socket, asio::buffer(reply));
                if (closes) {
                    socket->close();
                    return;
                }
                // Stays open: its only reference is kept by a read that never ends.
                socket->async_read_some(asio::buffer(*buffer),
                                        [socket, buffer](asio::error_code, std::size_t) {});
            });
        });
        return { "127.0.0.1", acceptor->local_endpoint().port() };
    }

    Connection connect(const Address &address)
    {
        return makeRef<HttpClientConnection>(m_loop.context, m_loop.timers, m_loop.clock, address,
                                             ClientConnectionOptions());
    }

    /// Returns the result of an upload that is larger than the buffers of the network.
    TransferResult upload(const Address &address)
    {
        const std::string body(20UL << 20U, 'x');
        std::optional<TransferResult> result;
        connect(address)->send(serializeRequest({ "POST", "/", { { "Host", "test" } }, body }),
                               false, nullptr,
                               [&](TransferResult it, const HttpResponse &) { result = it; });
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return result.has_value(); }));
        return *result;
    }

    static std::string get(const std::string &path)
    {
        return serializeRequest({ "GET", path, { { "Host", "test" } }, {} });
    }

public:
    void tearDown() override { m_listener.reset(); }

    // Guards against a session that keeps a pointer to a request which its handler gave up without
    // a response, and calls it when the caller leaves.
    void droppedRequestEndsItsConnection()
    {
        IntrusivePtr<HttpExchange> kept;
        const Address address = serve([&](const IntrusivePtr<HttpExchange> &it) { kept = it; });
        const Connection connection = connect(address);
        std::optional<TransferResult> result;
        connection->send(get("/"), false, nullptr,
                         [&](TransferResult it, const HttpResponse &) { result = it; });
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return kept.get() != nullptr; }));
        kept = nullptr;
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return result.has_value(); }));
        CPPUNIT_ASSERT(*result == TransferResult::Lost);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, m_listener->pendingCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, m_listener->connectionCount());
    }

    // Guards against two reads at a time into one buffer, which spoiled large answers.
    void exchangesFollowEachOtherFromTheCallback()
    {
        const std::string large(300'000, 'x');
        const Address address = serve([&](const IntrusivePtr<HttpExchange> &it) {
            it->respond(jsonResponse(200, it->request().target + large));
        });
        const Connection connection = connect(address);
        int rounds = 0;
        std::vector<std::string> bodies;
        std::function<void()> next = [&] {
            connection->send(get("/" + std::to_string(rounds)), false, nullptr,
                             [&](TransferResult result, const HttpResponse &response) {
                                 CPPUNIT_ASSERT(result == TransferResult::Answered);
                                 bodies.push_back(response.body);
                                 if (++rounds < 20)
                                     next();
                             });
        };
        next();
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return bodies.size() == 20; }));
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(bodies[i] == "/" + std::to_string(i) + large);
    }

    // Guards against a request being called unknown although no byte of it can have left.
    void refusedConnectionIsNotSent()
    {
        const Address address = serve([](const auto &) {});
        m_listener.reset();
        std::optional<TransferResult> result;
        connect(address)->send(get("/"), false, nullptr,
                               [&](TransferResult it, const HttpResponse &) { result = it; });
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return result.has_value(); }));
        CPPUNIT_ASSERT(*result == TransferResult::NotSent);
    }

    // Guards against "not run" being said of a request that may have reached its target.
    void silentServerIsNoticedByTheCaller()
    {
        const Address address = serveRaw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
        std::optional<TransferResult> result;
        const Connection connection = connect(address);
        connection->send(get("/"), false, nullptr,
                         [&](TransferResult it, const HttpResponse &) { result = it; });
        bool timedOut = false;
        const auto timer = m_loop.timers.after(std::chrono::milliseconds(100), [&] {
            timedOut = true;
            connection->close();
        });
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return timedOut; }));
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT(!connection->isOpen());
    }

    // Guards against a late second answer being given to the next request.
    void responseOfAnotherRequestIsDropped()
    {
        const Address address =
                serveRaw("HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 1\r\n\r\na"
                         "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 1\r\n\r\nb");
        std::string body;
        const Connection connection = connect(address);
        connection->send(
                get("/"), false,
                [](const HttpResponse &it) { return *findHeader(it.headers, "Id") == "new"; },
                [&](TransferResult, const HttpResponse &it) { body = it.body; });
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return !body.empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), body);
        CPPUNIT_ASSERT(!connection->isReusable(m_loop.clock.now(), std::chrono::seconds(1)));
    }

    void extraBytesEndTheConnection()
    {
        const Address address =
                serveRaw("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK");
        std::string body;
        const Connection connection = connect(address);
        connection->send(get("/"), false, nullptr,
                         [&](TransferResult, const HttpResponse &it) { body = it.body; });
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return !body.empty(); }));
        CPPUNIT_ASSERT(!connection->isOpen());
    }

    // Each answer is cut after every byte of it, and the server closes.
    void answerThatEndsEarlyIsNotTakenForComplete()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nX-Kept: yes\r\n";
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        const std::string answers[] = {
            head + "Content-Length: 4\r\n\r\nbody",
            head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            interim + head + "Content-Length: 0\r\n\r\n",
            head + "Connection: close\r\n\r\n",
        };
        for (const std::string &answer : answers) {
            for (std::size_t n = 0; n <= answer.size(); ++n) {
                std::optional<TransferResult> result;
                const Connection connection = connect(serveRaw(answer.substr(0, n), true));
                connection->send(get("/"), false, nullptr,
                                 [&](TransferResult it, const HttpResponse &) { result = it; });
                CPPUNIT_ASSERT(m_loop.runUntil([&] { return result.has_value(); }));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.substr(0, n), n == answer.size(),
                                             *result == TransferResult::Answered);
            }
        }
    }

    // Guards against a part of an answer being taken for all of it: the system tells a reset once,
    // and if a write gets it, the next read sees the end of the connection.
    void resetDuringAnUploadIsNotTheEndOfTheAnswer()
    {
        const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
        for (const std::string &answer : { head + "part", head, std::string() }) {
            for (const int ms : { 20, 150 }) {
                EndlessServer server(m_loop, answer, "");
                server.resetAfter(std::chrono::milliseconds(ms));
                CPPUNIT_ASSERT(upload(server.address()) == TransferResult::Lost);
            }
        }
    }

    void endDuringAnUploadIsNotTheEndOfTheAnswer()
    {
        CPPUNIT_ASSERT(upload(serveRaw("HTTP/1.1 200 OK\r\n\r\npart", true))
                       == TransferResult::Lost);
    }

    void answerWithALengthIsCompleteDuringAnUpload()
    {
        const std::string answer = "HTTP/1.1 413 Large\r\nContent-Length: 2\r\n\r\nno";
        EndlessServer server(m_loop, answer, "");
        server.resetAfter(std::chrono::milliseconds(20));
        CPPUNIT_ASSERT(upload(server.address()) == TransferResult::Answered);
    }

    // Guards against an answer being refused only since the end of its connection frames it.
    void answerWithoutLengthIsCompleteAfterAnUpload()
    {
        std::optional<TransferResult> result;
        HttpResponse response;
        connect(serveRaw("HTTP/1.1 200 OK\r\n\r\nwhole", true))
                ->send(serializeRequest({ "POST", "/", { { "Host", "test" } }, "small" }), false,
                       nullptr, [&](TransferResult it, HttpResponse received) {
                           result = it;
                           response = std::move(received);
                       });
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return result.has_value(); }));
        CPPUNIT_ASSERT(*result == TransferResult::Answered);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), response.body);
    }

    // Guards against idle connections, of which there may be thousands, that keep the memory of
    // their last request or response.
    void idleConnectionsHoldNoMessages()
    {
        constexpr std::size_t kBodyBytes = 1UL << 20U;
        constexpr int kConnections = 8;
        const std::string body(kBodyBytes, 'x');
        const Address address = serve([&](const IntrusivePtr<HttpExchange> &it) {
            it->respond(jsonResponse(200, it->request().body));
        });
        const std::size_t heapAtStart = heapBytes();
        std::vector<Connection> connections;
        int answered = 0;
        for (int i = 0; i < kConnections; ++i) {
            connections.push_back(connect(address));
            connections.back()->send(
                    serializeRequest({ "POST", "/", { { "Host", "test" } }, body }), false, nullptr,
                    [&](TransferResult result, const HttpResponse &response) {
                        CPPUNIT_ASSERT(result == TransferResult::Answered);
                        CPPUNIT_ASSERT_EQUAL(kBodyBytes, response.body.size());
                        ++answered;
                    });
        }
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return answered == kConnections; }));
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return heapBytes() < heapAtStart + kBodyBytes; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ kConnections }, m_listener->connectionCount());
    }

    void callerThatLeavesIsNoticed()
    {
        bool asked = false;
        bool gone = false;
        IntrusivePtr<HttpExchange> kept;
        const Address address = serve([&](const IntrusivePtr<HttpExchange> &it) {
            asked = true;
            kept = it;
            it->onCallerGone([&] { gone = true; });
        });
        const Connection connection = connect(address);
        connection->send(get("/"), false, nullptr, [](auto, const auto &) {});
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return asked; }));
        connection->close();
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return gone; }));
        kept->respond(jsonResponse(200, "late"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, m_listener->pendingCount());
    }

    // Guards against requests that are sent on after their callers have left, as when a busy
    // instance accepts their connections late (GONE, fresh-98d7 of 125 instances).
    void requestOfACallerThatHasLeftIsDropped()
    {
        std::vector<std::string> handled;
        const Address address = serve([&](const IntrusivePtr<HttpExchange> &it) {
            handled.push_back(it->request().target);
            it->respond(jsonResponse(200, "{}"));
        });
        {
            asio::ip::tcp::socket caller(m_loop.context);
            caller.connect({ asio::ip::make_address(address.host), address.port });
            asio::write(caller, asio::buffer(get("/left")));
        }
        bool answered = false;
        const Connection connection = connect(address);
        connection->send(get("/stays"), false, nullptr,
                         [&](TransferResult, const HttpResponse &) { answered = true; });
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return answered; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, handled.size());
        CPPUNIT_ASSERT_EQUAL(std::string("/stays"), handled.front());
    }

    void badRequestsGetAnErrorAndTheListenerLives()
    {
        const Address address = serve(
                [](const IntrusivePtr<HttpExchange> &it) { it->respond(jsonResponse(200, "{}")); });
        const std::pair<const char *, int> cases[] = {
            { "nonsense\r\n\r\n", 400 },
            { "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400 },
            { "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 200 },
        };
        for (const auto &[request, status] : cases) {
            int answered = 0;
            const Connection connection = connect(address);
            connection->send(request, false, nullptr,
                             [&](TransferResult, const HttpResponse &it) { answered = it.status; });
            CPPUNIT_ASSERT(m_loop.runUntil([&] { return answered != 0; }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(request, status, answered);
        }
    }

    // Guards against connections that are reset although their request could be refused, which
    // leaves the caller without a promise that it did not run.
    void connectionsOverTheLimitGetAnAnswer()
    {
        std::vector<IntrusivePtr<HttpExchange>> held;
        const Address address = serve([&](const IntrusivePtr<HttpExchange> &it) {
            if (it->isOverLimit())
                it->respond(jsonResponse(503, "{}"));
            else
                held.push_back(it);
        });
        HttpListenerLimits limits;
        limits.connections = 2;
        limits.overLimit = 1;
        m_listener->setLimits(limits);
        std::vector<Connection> connections;
        std::vector<int> statuses;
        int lost = 0;
        const auto open = [&] {
            connections.push_back(connect(address));
            connections.back()->send(get("/"), false, nullptr,
                                     [&](TransferResult result, const HttpResponse &it) {
                                         if (result == TransferResult::Answered)
                                             statuses.push_back(it.status);
                                         else
                                             ++lost;
                                     });
        };
        open();
        open();
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return held.size() == 2; }));
        for (std::size_t i = 1; i <= 3; ++i) {
            open();
            CPPUNIT_ASSERT(m_loop.runUntil([&] { return statuses.size() == i; }));
            CPPUNIT_ASSERT_EQUAL(503, statuses.back());
            CPPUNIT_ASSERT(m_loop.runUntil([&] { return m_listener->connectionCount() == 2; }));
        }
        CPPUNIT_ASSERT_EQUAL(0, lost);
        held.clear();
    }

    void idleConnectionGivesWayAtTheLimit()
    {
        std::vector<IntrusivePtr<HttpExchange>> held;
        bool holds = false;
        const Address address = serve([&](const IntrusivePtr<HttpExchange> &it) {
            CPPUNIT_ASSERT(!it->isOverLimit());
            if (holds)
                held.push_back(it);
            else
                it->respond(jsonResponse(200, "{}"));
        });
        HttpListenerLimits limits;
        limits.connections = 2;
        m_listener->setLimits(limits);
        int answered = 0;
        const auto count = [&](TransferResult, const HttpResponse &) { ++answered; };
        const Connection idle = connect(address);
        idle->send(get("/"), false, nullptr, count);
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return answered == 1; }));
        const TimePoint end = m_loop.clock.now() + std::chrono::milliseconds(600);
        m_loop.runUntil([&] { return m_loop.clock.now() >= end; });
        holds = true;
        const Connection busy = connect(address);
        busy->send(get("/"), false, nullptr, count);
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return held.size() == 1; }));
        holds = false;
        const Connection next = connect(address);
        next->send(get("/"), false, nullptr, count);
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return answered == 2 && !idle->isOpen(); }));
        CPPUNIT_ASSERT(busy->isOpen());
        held.clear();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpConnectionTest);

} // namespace lycheebay
