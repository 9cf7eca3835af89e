#include "http/httpclientconnection.h"
#include "http/httpserialization.h"
#include "http/tests/endlessserver.h"
#include "http/tests/heapbytes.h"
#include "http/tests/loopfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <vector>

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
    CPPUNIT_TEST(manyEndlessBodiesAtOnceAreBoundedTogether);
    CPPUNIT_TEST(responseThatSharesNoMemoryIsNotEnded);
    CPPUNIT_TEST(manyEndlessHeadsAtOnceAreBoundedTogether);
    CPPUNIT_TEST_SUITE_END();

    // Bytes that the server may get rid of before the connection is closed: the bound for a body
    // and what the kernel buffers.
    static constexpr std::size_t kMaxSentBytes = 16UL << 20U;

    using HttpConnection = IntrusivePtr<HttpClientConnection>;

    LoopFixture m_loop;

    void assertEnds(const std::string &start, const std::string &repeated,
                    const HttpClientConnection::Filter &filter = nullptr)
    {
        EndlessServer server(m_loop, start, repeated);
        const HttpConnection connection = connect(server.address());
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

    HttpConnection connect(const Address &address, const ClientConnectionOptions &options = {})
    {
        return makeRef<HttpClientConnection>(m_loop.context, m_loop.timers, m_loop.clock, address,
                                             options);
    }

    /// Reads many endless responses at once, and right ones meanwhile.
    void assertBoundedTogether(const std::string &start, const std::string &repeated)
    {
        constexpr int kConnections = 150;
        constexpr int kEndless = 600;
        // The bound for all responses, and what else this test and its server hold.
        constexpr std::size_t kMaxHeapBytes = 96UL << 20U;
        EndlessServer endless(m_loop, start, repeated);
        EndlessServer sound(m_loop, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "");
        const std::string request = serializeRequest({ "GET", "/", { { "Host", "test" } }, {} });
        const std::size_t heapAtStart = heapBytes();
        std::vector<HttpConnection> connections;
        int started = 0;
        int ended = 0;
        const auto startEndless = [&] {
            ++started;
            connections.push_back(connect(endless.address()));
            connections.back()->send(request, false, nullptr,
                                     [&](TransferResult result, const HttpResponse &) {
                                         CPPUNIT_ASSERT(result == TransferResult::Malformed);
                                         ++ended;
                                     });
        };
        bool isReadingSound = false;
        int answered = 0;
        const auto startSound = [&] {
            isReadingSound = true;
            connections.push_back(connect(sound.address()));
            connections.back()->send(request, false, nullptr,
                                     [&](TransferResult result, const HttpResponse &) {
                                         CPPUNIT_ASSERT(result == TransferResult::Answered);
                                         isReadingSound = false;
                                         ++answered;
                                     });
        };
        std::size_t maxHeapBytes = heapAtStart;
        CPPUNIT_ASSERT(m_loop.runUntil([&] {
            maxHeapBytes = std::max(maxHeapBytes, heapBytes());
            while (started < kEndless && started - ended < kConnections)
                startEndless();
            if (!isReadingSound)
                startSound();
            return ended == kEndless;
        }));
        for (const HttpConnection &it : connections)
            it->close();
        const std::size_t added = maxHeapBytes - heapAtStart;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(added), added < kMaxHeapBytes);
        CPPUNIT_ASSERT(answered > 0);
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

    void manyEndlessBodiesAtOnceAreBoundedTogether()
    {
        assertBoundedTogether("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                              "4\r\nBAD!\r\n");
        assertBoundedTogether("HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x'));
    }

    // Guards against a large response of the store being ended for the memory that targets take.
    void responseThatSharesNoMemoryIsNotEnded()
    {
        asio::use_service<ResponseMemory>(m_loop.context).setLimit(1UL << 20U);
        const HttpResponse large{ 200, {}, std::string(1'900'000, 'x') };
        for (const bool sharesMemory : { true, false }) {
            EndlessServer server(m_loop, serializeResponse(large, {}, false), "");
            ClientConnectionOptions options;
            options.sharesMemory = sharesMemory;
            std::optional<TransferResult> result;
            connect(server.address(), options)
                    ->send(serializeRequest({ "GET", "/", { { "Host", "test" } }, {} }), false,
                           nullptr, [&](TransferResult it, const HttpResponse &) { result = it; });
            CPPUNIT_ASSERT(m_loop.runUntil([&] { return result.has_value(); }));
            CPPUNIT_ASSERT(
                    *result
                    == (sharesMemory ? TransferResult::Malformed : TransferResult::Answered));
        }
    }

    // The memory of a field is much more than the bytes of a short one.
    void manyEndlessHeadsAtOnceAreBoundedTogether()
    {
        assertBoundedTogether("HTTP/1.1 200 OK\r\n", "a:\r\n");
    }

    // Fails if the bound for framing rejects a response that is only sent in small pieces.
    void smallChunksWithinTheBoundAreAccepted()
    {
        std::string response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        constexpr std::size_t kChunks = 50'000;
        for (std::size_t i = 0; i < kChunks; ++i)
            response += "1\r\na\r\n";
        EndlessServer server(m_loop, response + "0\r\n\r\n", "");
        const HttpConnection connection = connect(server.address());
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
