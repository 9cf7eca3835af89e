#include "http/httpclientconnection.h"
#include "http/httpserialization.h"
#include "http/tests/endlessserver.h"
#include "http/tests/loopfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace lycheebay {

using namespace std::chrono_literals;

/// A faulty server may send bytes without end. Without a bound they occupy the connection, and the
/// processor of a small instance, until the deadline of the request, and fill its memory.
class EndlessResponseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessResponseTest);
    CPPUNIT_TEST(endlessStatusLine);
    CPPUNIT_TEST(endlessHeaderLine);
    CPPUNIT_TEST(endlessHeaderFields);
    CPPUNIT_TEST(endlessInterimResponses);
    CPPUNIT_TEST(endlessChunkSize);
    CPPUNIT_TEST(endlessChunkExtension);
    CPPUNIT_TEST(endlessExtensionsOfSmallChunks);
    CPPUNIT_TEST(endlessTrailers);
    CPPUNIT_TEST(endlessChunkedBody);
    CPPUNIT_TEST(endlessBodyWithoutLength);
    CPPUNIT_TEST(endlessBodyWithLength);
    CPPUNIT_TEST(endlessResponsesToOtherRequests);
    CPPUNIT_TEST(smallChunksWithinTheBoundAreAccepted);
    CPPUNIT_TEST_SUITE_END();

    // Bytes that the server may get rid of before the connection is closed: the bound for a body
    // and what the kernel buffers.
    static constexpr std::size_t kMaxSentBytes = 16UL << 20U;

    LoopFixture m_loop;

    void assertEnds(const std::string &start, const std::string &repeated,
                    const HttpClientConnection::Filter &filter = nullptr)
    {
        EndlessServer server(m_loop, start, repeated);
        const auto connection =
                makeRef<HttpClientConnection>(m_loop.context, m_loop.timers, m_loop.clock,
                                              server.address(), ClientConnectionTimeouts());
        std::optional<TransferResult> result;
        connection->send(serializeRequest({ "GET", "/", { { "Host", "test" } }, {} }), false,
                         filter, [&](TransferResult it, const HttpResponse &) { result = it; });
        m_loop.runUntil([&] { return result || server.sentBytes() > kMaxSentBytes; });
        const bool ended = result && !connection->isOpen();
        connection->close();
        CPPUNIT_ASSERT(ended);
        CPPUNIT_ASSERT(*result == TransferResult::Malformed);
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return server.isClosedByPeer(); }));
    }

public:
    void endlessStatusLine() { assertEnds("HTTP/1.1 200 ", std::string(1000, 'x')); }

    void endlessHeaderLine() { assertEnds("HTTP/1.1 200 OK\r\nX: ", std::string(1000, 'x')); }

    void endlessHeaderFields() { assertEnds("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"); }

    void endlessInterimResponses() { assertEnds("", "HTTP/1.1 100 Continue\r\n\r\n"); }

    void endlessChunkSize()
    {
        assertEnds("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0000000000");
    }

    void endlessChunkExtension()
    {
        assertEnds("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "name=value;");
    }

    void endlessExtensionsOfSmallChunks()
    {
        assertEnds("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                   "1;" + std::string(1000, 'x') + "\r\na\r\n");
    }

    void endlessTrailers()
    {
        assertEnds("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                   "X-Field: value\r\n");
    }

    void endlessChunkedBody()
    {
        assertEnds("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                   "3e8\r\n" + std::string(1000, 'x') + "\r\n");
    }

    void endlessBodyWithoutLength()
    {
        assertEnds("HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x'));
    }

    void endlessBodyWithLength()
    {
        assertEnds("HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n",
                   std::string(1000, 'x'));
    }

    void endlessResponsesToOtherRequests()
    {
        assertEnds("", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
                   [](const HttpResponse &) { return false; });
    }

    // Fails if the bound for framing rejects a response that is only sent in small pieces.
    void smallChunksWithinTheBoundAreAccepted()
    {
        std::string response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        constexpr std::size_t kChunks = 50'000;
        for (std::size_t i = 0; i < kChunks; ++i)
            response += "1\r\na\r\n";
        EndlessServer server(m_loop, response + "0\r\n\r\n", "");
        const auto connection =
                makeRef<HttpClientConnection>(m_loop.context, m_loop.timers, m_loop.clock,
                                              server.address(), ClientConnectionTimeouts());
        std::size_t length = 0;
        connection->send(serializeRequest({ "GET", "/", { { "Host", "test" } }, {} }), false,
                         nullptr,
                         [&](TransferResult, const HttpResponse &it) { length = it.body.size(); });
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return length > 0; }));
        CPPUNIT_ASSERT_EQUAL(kChunks, length);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponseTest);

} // namespace lycheebay
