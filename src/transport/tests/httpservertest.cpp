#include "transport/httpserver.h"
#include "transport/tests/rawpeer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

namespace lycheebay {

using namespace std::chrono_literals;

class HttpServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(bodiesPassUnchangedOnAPersistentConnection);
    CPPUNIT_TEST(ambiguousAndOversizedInputIsRefused);
    CPPUNIT_TEST(connectionOverTheLimitGets503);
    CPPUNIT_TEST(slowSendersTimeOut);
    CPPUNIT_TEST(handlerExceptionGets500);
    CPPUNIT_TEST(handlerSeesThatTheCallerIsGone);
    CPPUNIT_TEST(stalledConnectionGivesWayAtTheLimit);
    CPPUNIT_TEST(bodiesAreBoundedTogether);
    CPPUNIT_TEST(singleLargeBodyIsServed);
    CPPUNIT_TEST_SUITE_END();

    void start(HttpServerSettings settings = {})
    {
        settings.listen = { "127.0.0.1", 0 };
        m_server = std::make_unique<HttpServer>(
                settings, [this](const HttpRequest &request, const ICaller &caller) {
                    return m_handler(request, caller);
                });
        CPPUNIT_ASSERT(m_server->start().ok());
    }
    std::string responseTo(const std::string &bytes)
    {
        const RawClient client(m_server->port());
        client.send(bytes);
        return client.readAll();
    }

    std::function<HttpResponse(const HttpRequest &, const ICaller &)> m_handler =
            [](const HttpRequest &request, const ICaller &) {
                return HttpResponse{ 200, {}, request.target + "|" + request.body };
            };
    std::unique_ptr<HttpServer> m_server;

public:
    // Guards against httplib's processing of requests and responses: it would parse forms, apply
    // ranges, and decompress and compress bodies.
    void bodiesPassUnchangedOnAPersistentConnection()
    {
        start();
        const RawClient client(m_server->port());
        for (int i = 0; i < 20; ++i) {
            client.send("POST /a%2Fb?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                        "Content-Type: multipart/form-data; boundary=x\r\nRange: bytes=0-0\r\n"
                        "Content-Encoding: gzip\r\nAccept-Encoding: gzip\r\n\r\nq=1");
            CPPUNIT_ASSERT(!client.readUntil("\r\n\r\n/a%2Fb?x=1|q=1").empty());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_server->counters().connections.load());
    }

    // Guards against request smuggling and against input without a size limit.
    void ambiguousAndOversizedInputIsRefused()
    {
        start({ .maxBodyBytes = 100 });
        struct Case
        {
            std::string input;
            std::string status;
        };
        const std::string get = "GET / HTTP/1.1\r\nHost: h\r\n";
        const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
        const std::vector<Case> cases{
            { post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "400" },
            { post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "400" },
            { post + "Content-Length: 3, 3\r\n\r\nabc", "400" },
            { post + "Content-Length: +3\r\n\r\nabc", "400" },
            { post + "Content-Length: -1\r\n\r\nabc", "400" },
            { post + "Content-Length: 0x3\r\n\r\nabc", "400" },
            { post + "Content-Length: \r\n\r\nabc", "400" },
            { post + "Content-Length: 99999999999999999999\r\n\r\n", "413" },
            { post + "Content-Length: 101\r\n\r\n", "413" },
            { post + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "411" },
            { post + "\r\n", "411" },
            { get + "Transfer-Encoding : chunked\r\n\r\n", "400" },
            { get + "A: b\r\n c: d\r\n\r\n", "400" },
            { get + "A: b\nC: d\r\n\r\n", "400" },
            { get + "A: b\rC\r\n\r\n", "400" },
            { get + std::string("A: b\0c\r\n\r\n", 11), "400" },
            { get + "no colon\r\n\r\n", "400" },
            { get + ": x\r\n\r\n", "400" },
            { get + "Host: i\r\n\r\n", "400" },
            { "GET / HTTP/1.1\r\n\r\n", "400" },
            { "GET / HTTP/2.0\r\nHost: h\r\n\r\n", "400" },
            { "GET  / HTTP/1.1\r\nHost: h\r\n\r\n", "400" },
            { "GET http://x/ HTTP/1.1\r\nHost: h\r\n\r\n", "400" },
            { "CONNECT /x HTTP/1.1\r\nHost: h\r\n\r\n", "501" },
            { "\r\n\r\n", "400" },
            { "GET /" + std::string(9000, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n", "414" },
            { get + "A: " + std::string(20000, 'a') + "\r\n\r\n", "431" },
            { get + std::string(20000, 'a'), "431" },
        };
        for (const Case &it : cases) {
            const std::string response = responseTo(it.input);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.input.substr(0, 80), "HTTP/1.1 " + it.status,
                                         response.substr(0, 12));
            CPPUNIT_ASSERT(response.find("Connection: close") != std::string::npos);
            CPPUNIT_ASSERT(response.find("not-run") != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(cases.size(), std::size_t(m_server->counters().badRequests));
    }

    // Guards against callers that get no response while idle connections occupy all threads.
    void connectionOverTheLimitGets503()
    {
        start({ .maxConnections = 2, .minWaitTime = 1h });
        const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        auto first = std::make_unique<RawClient>(m_server->port());
        first->send(request);
        CPPUNIT_ASSERT(!first->readUntil("/|").empty());
        const RawClient second(m_server->port());
        second.send(request);
        CPPUNIT_ASSERT(!second.readUntil("/|").empty());
        const std::string refused = responseTo(request);
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), refused.substr(0, 12));
        CPPUNIT_ASSERT(refused.find("\"not-run\"") != std::string::npos);
        CPPUNIT_ASSERT(refused.find("Connection: close") != std::string::npos);
        // The key may belong to a request that has already run, so "not-run" would be wrong.
        const std::string repeat = "POST / HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"
                                   "Content-Length: 0\r\n\r\n";
        CPPUNIT_ASSERT(responseTo(repeat).find("\"unknown\"") != std::string::npos);
        CPPUNIT_ASSERT(responseTo("").find("\"unknown\"") != std::string::npos);
        first.reset();
        CPPUNIT_ASSERT(eventually([&] { return m_server->counters().openConnections == 1; }));
        const RawClient third(m_server->port());
        third.send(request);
        CPPUNIT_ASSERT(!third.readUntil("/|").empty());
    }

    // Guards against senders that occupy a thread by sending a request slowly or not completely.
    void slowSendersTimeOut()
    {
        start({ .idleTimeout = 50ms, .headTimeout = 50ms, .bodyTimeout = 50ms });
        CPPUNIT_ASSERT_EQUAL(std::string(), responseTo(""));
        CPPUNIT_ASSERT(responseTo("GET / HT").starts_with("HTTP/1.1 408"));
        CPPUNIT_ASSERT(responseTo("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
                               .starts_with("HTTP/1.1 408"));
        CPPUNIT_ASSERT(responseTo("GET / HT").find("\"unknown\"") != std::string::npos);
        CPPUNIT_ASSERT(responseTo("PUT / HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"
                                  "Content-Length: 9\r\n\r\nabc")
                               .find("\"unknown\"")
                       != std::string::npos);
    }

    // Guards against an exception in one handler that terminates the process.
    void handlerExceptionGets500()
    {
        m_handler = [](const HttpRequest &, const ICaller &) -> HttpResponse {
            throw std::runtime_error("fault");
        };
        start();
        const std::string get = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        CPPUNIT_ASSERT(responseTo(get).starts_with("HTTP/1.1 500"));
        CPPUNIT_ASSERT(responseTo(get).find("\"unknown\"") != std::string::npos);
    }

    // Guards against work on a request whose caller has closed the connection.
    void handlerSeesThatTheCallerIsGone()
    {
        std::atomic<bool> began = false;
        std::atomic<bool> seen = false;
        m_handler = [&](const HttpRequest &, const ICaller &caller) {
            began = true;
            seen = eventually([&] { return caller.isGone(); });
            return HttpResponse{};
        };
        start();
        RawClient client(m_server->port());
        client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(eventually([&] { return began.load(); }));
        client.close();
        m_server->stop();
        CPPUNIT_ASSERT(seen);
    }

    // Guards against callers that occupy every thread with requests they never complete.
    void stalledConnectionGivesWayAtTheLimit()
    {
        start({ .maxConnections = 1, .minWaitTime = 0ms });
        const RawClient stalled(m_server->port());
        stalled.send("GET /");
        CPPUNIT_ASSERT(eventually([&] { return m_server->counters().openConnections == 1; }));
        for (int i = 0; i < 3; ++i) {
            const RawClient caller(m_server->port());
            caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            CPPUNIT_ASSERT(!caller.readUntil("/|").empty());
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), stalled.readAll());
    }

    void bodiesAreBoundedTogether()
    {
        constexpr std::size_t kMega = 1u << 20;
        start({ .maxBodyBytes = 4 * kMega, .maxMessageBytes = 2 * kMega });
        const std::string head = "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: ";
        const RawClient small(m_server->port());
        small.send(head + "500000\r\n\r\n" + std::string(499'999, 'a'));
        const RawClient large(m_server->port());
        large.send(head + "3000000\r\n\r\n" + std::string(2'000'000, 'b'));
        CPPUNIT_ASSERT(large.readAll().starts_with("HTTP/1.1 503"));
        small.send("a");
        CPPUNIT_ASSERT(!small.readUntil("aaa").empty());
    }

    // Guards against a body within the limit that is refused although there is no other.
    void singleLargeBodyIsServed()
    {
        constexpr std::size_t kMega = 1u << 20;
        start({ .maxBodyBytes = 4 * kMega, .maxMessageBytes = kMega });
        const RawClient caller(m_server->port());
        caller.send("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n"
                    + std::string(3'000'000, 'a'));
        CPPUNIT_ASSERT(caller.readUntil("/|aaa").starts_with("HTTP/1.1 200"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace lycheebay
