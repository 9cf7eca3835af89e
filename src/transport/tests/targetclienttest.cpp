#include "transport/targetclient.h"
#include "transport/loadheader.h"
#include "transport/tests/rawpeer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

using namespace std::chrono_literals;

class TargetClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetClientTest);
    CPPUNIT_TEST(connectionsAreReused);
    CPPUNIT_TEST(connectionWithSurplusBytesIsNotReused);
    CPPUNIT_TEST(truncatedAndAmbiguousResponsesCountAsLost);
    CPPUNIT_TEST(malformedResponsesCountAsLost);
    CPPUNIT_TEST(refusedConnectionIsNotALostResponse);
    CPPUNIT_TEST(cancelAndTimeoutCloseTheConnection);
    CPPUNIT_TEST(sendPredicateCanPreventTheSend);
    CPPUNIT_TEST(only503WithNotRunHeaderIsShed);
    CPPUNIT_TEST(connectionsPerTargetAreLimited);
    CPPUNIT_TEST(responsesWithoutBodyAreComplete);
    CPPUNIT_TEST(malformedLoadHeadersAreRejected);
    CPPUNIT_TEST_SUITE_END();

    static std::string reply(const std::string &body, const std::string &headers = {})
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n"
               + headers + "\r\n" + body;
    }
    ExchangeResult exchange(const RawServer &server, Duration timeout = 10s)
    {
        return m_client.exchange(server.address(), m_request,
                                 std::chrono::steady_clock::now() + timeout, nullptr, {});
    }
    /// Checks that a request which \a response answers counts as lost, and its connection is
    /// closed.
    void assertLost(const std::string &response)
    {
        const RawServer server({ response });
        const ExchangeResult exchangeResult = exchange(server, 200ms);
        const bool uncertain = exchangeResult.result.outcome == AttemptOutcome::ConnectionLost
                               || exchangeResult.result.outcome == AttemptOutcome::TimedOut;
        CPPUNIT_ASSERT_MESSAGE(response,
                               uncertain && exchangeResult.sent && !exchangeResult.response);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, !response.empty(), exchangeResult.responseBegan);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, std::size_t(0),
                                     m_client.openCount(server.address()));
    }
    static std::string bodyOf(const ExchangeResult &exchangeResult)
    {
        return exchangeResult.response ? exchangeResult.response->body : std::string("none");
    }

    TargetClient m_client{ { .maxConnectionsPerTarget = 1 } };
    HttpRequest m_request{
        "GET", "/a%20b?c", { { "Connection", "x" }, { "X", "1" }, { "K", "2" } }, {}
    };

public:
    // Guards against a new connection for each request, which costs about 1 ms at the target.
    void connectionsAreReused()
    {
        const RawServer server({ reply("a", kLoadHeader
                                                    + std::string(": inflight=2;slots=3;"
                                                                  "phase=cold;start=17\r\n")),
                                 reply("b") });
        const ExchangeResult first = exchange(server);
        CPPUNIT_ASSERT(first.result.outcome == AttemptOutcome::Succeeded);
        CPPUNIT_ASSERT((*first.result.load == LoadReport{ 2, 3, TargetPhase::Cold, 17 }));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), bodyOf(exchange(server)));
        CPPUNIT_ASSERT_EQUAL(1, server.connections());
        const std::string sent = server.lastRequest();
        CPPUNIT_ASSERT(sent.starts_with("GET /a%20b?c HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(sent.find("K: 2\r\n") != std::string::npos);
        CPPUNIT_ASSERT(sent.find("X: 1\r\n") == std::string::npos);
    }

    // Guards against a response that is taken for that of another request: bytes after a response,
    // or late ones, would be read as the response to the next request on the connection.
    void connectionWithSurplusBytesIsNotReused()
    {
        RawServer server({ reply("a") + reply("wrong"), reply("b"), reply("c"), reply("d") });
        CPPUNIT_ASSERT_EQUAL(std::string("a"), bodyOf(exchange(server)));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), bodyOf(exchange(server)));
        CPPUNIT_ASSERT_EQUAL(2, server.connections());
        server.sendUnsolicited(reply("wrong"));
        CPPUNIT_ASSERT_EQUAL(std::string("c"), bodyOf(exchange(server)));
        CPPUNIT_ASSERT_EQUAL(3, server.connections());
        CPPUNIT_ASSERT_EQUAL(std::string("d"), bodyOf(exchange(server)));
    }

    // Guards against a truncated response that is taken for a complete one.
    void truncatedAndAmbiguousResponsesCountAsLost()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const std::vector<std::string> replies{
            "",
            "HTTP/1.1 20",
            ok + "Content-Length: 5\r\n\r\nabc",
            ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
            ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            ok + "\r\nabc",
            ok + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ok + "Content-Length: -3\r\n\r\nabc",
            "nonsense\r\n\r\n",
        };
        for (const std::string &it : replies)
            assertLost(it);
    }

    // Guards against bytes that are no response being passed on to a caller.
    void malformedResponsesCountAsLost()
    {
        const std::string end = "Content-Length: 2\r\n\r\nok";
        for (const char *it : { "000", "00", "099", "20", "600", "999", "0200", "2xx", "-20" })
            assertLost("HTTP/1.1 " + std::string(it) + " Text\r\n" + end);
        assertLost("HTTP/3.0 200 OK\r\n" + end);
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        using namespace std::string_literals;
        for (const std::string &it :
             { "X Y: z"s, "X : z"s, "Content-Length : 2"s, "X\x01: z"s, "X\tY: z"s, "X\x7f: z"s,
               "X\0Y: z"s, "X\xe9: z"s, ": z"s, "X"s, "X: a\x01"s, "X: a\0"s, "X: a\rb"s })
            assertLost(ok + it + "\r\n" + end);
        const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
        for (const char *it : { "4\r\ndataXX", "0x4\r\ndata\r\n", "+4\r\ndata\r\n",
                                "-4\r\ndata\r\n", "4 4\r\ndata\r\n" })
            assertLost(chunked + it + "0\r\n\r\n");
        assertLost(ok + "Transfer-Encoding: gzip\r\n\r\nok");
        assertLost(ok + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    }

    // Guards against "not-run" for a request that may have run: a lost connection may have
    // delivered it, a refused one has not.
    void refusedConnectionIsNotALostResponse()
    {
        Address closed;
        {
            const RawServer server({ "" });
            const ExchangeResult lost = exchange(server);
            CPPUNIT_ASSERT(lost.result.outcome == AttemptOutcome::ConnectionLost && lost.sent);
            closed = server.address();
        }
        const ExchangeResult refused = m_client.exchange(
                closed, m_request, std::chrono::steady_clock::now() + 10s, nullptr, {});
        CPPUNIT_ASSERT(refused.result.outcome == AttemptOutcome::NotConnected && !refused.sent);
    }

    // Guards against the reuse of a connection on which a response is still outstanding.
    void cancelAndTimeoutCloseTheConnection()
    {
        const RawServer server({ "wait", "wait", reply("c") });
        CPPUNIT_ASSERT(exchange(server, 50ms).result.outcome == AttemptOutcome::TimedOut);
        Cancellation cancellation;
        std::thread canceller([&] {
            eventually([&] { return server.requests() == 2; });
            cancellation.cancel();
        });
        const ExchangeResult cancelled =
                m_client.exchange(server.address(), m_request,
                                  std::chrono::steady_clock::now() + 10s, &cancellation, {});
        canceller.join();
        CPPUNIT_ASSERT(cancelled.result.outcome == AttemptOutcome::Cancelled && cancelled.sent);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), bodyOf(exchange(server)));
        CPPUNIT_ASSERT_EQUAL(3, server.connections());
    }

    // Guards against a request that is sent after the configuration lease has expired.
    void sendPredicateCanPreventTheSend()
    {
        const RawServer server({ reply("a") });
        const ExchangeResult exchangeResult = m_client.exchange(
                server.address(), m_request, std::chrono::steady_clock::now() + 10s, nullptr,
                [](TimePoint) { return false; });
        CPPUNIT_ASSERT(!exchangeResult.sent
                       && exchangeResult.result.outcome == AttemptOutcome::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), bodyOf(exchange(server)));
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
    }

    // Guards against the retry of a request that ran and failed with 503.
    void only503WithNotRunHeaderIsShed()
    {
        const std::string head = "HTTP/1.1 503 x\r\nContent-Length: 0\r\n";
        const RawServer server({ head + "Lycheebay-Not-Run: 1\r\n\r\n", head + "\r\n" });
        CPPUNIT_ASSERT(exchange(server).result.outcome == AttemptOutcome::Shed);
        CPPUNIT_ASSERT(exchange(server).result.outcome == AttemptOutcome::Failed);
    }

    // Guards against more connections to a target than the configured limit.
    void connectionsPerTargetAreLimited()
    {
        const RawServer server({ "wait", reply("b") });
        Cancellation cancellation;
        std::thread first([&] {
            m_client.exchange(server.address(), m_request, std::chrono::steady_clock::now() + 10s,
                              &cancellation, {});
        });
        CPPUNIT_ASSERT(eventually([&] { return server.requests() == 1; }));
        const ExchangeResult second = exchange(server);
        cancellation.cancel();
        first.join();
        CPPUNIT_ASSERT(!second.sent && second.result.outcome == AttemptOutcome::Cancelled);
    }

    // Guards against a wait for a body that is never sent. httplib does not call the response
    // handler for a HEAD or a 204, and waits for the body of a 304.
    void responsesWithoutBodyAreComplete()
    {
        const std::string length = "Content-Length: 5\r\n\r\n";
        const RawServer server({ "HTTP/1.1 200 OK\r\n" + length, "HTTP/1.1 204 x\r\n\r\n",
                                 "HTTP/1.1 304 x\r\n" + length });
        for (const int status : { 200, 204, 304 }) {
            m_request.method = status == 200 ? "HEAD" : "GET";
            const ExchangeResult exchangeResult = exchange(server);
            CPPUNIT_ASSERT(exchangeResult.result.outcome == AttemptOutcome::Succeeded);
            CPPUNIT_ASSERT_EQUAL(status, exchangeResult.response->status);
            CPPUNIT_ASSERT_EQUAL(std::string(), exchangeResult.response->body);
        }
    }

    // Guards against a load report that is parsed from a malformed header.
    void malformedLoadHeadersAreRejected()
    {
        for (const char *bad :
             { "", "inflight=1", "inflight=1;slots=2;phase=hot;start=1",
               "inflight=-1;slots=2;phase=warm;start=1", "inflight=1;slots=2;phase=warm;start=1;",
               "inflight=1;slots=99999999999;phase=warm;start=1" })
            CPPUNIT_ASSERT_MESSAGE(bad, !parseLoadHeader(bad));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetClientTest);

} // namespace lycheebay
