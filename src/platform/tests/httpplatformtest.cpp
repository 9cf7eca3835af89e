#include "platform/httpplatform.h"
#include "platform/logstatus.h"

#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace lycheebay {

namespace {

/// An HTTP server that gives one canned response to everything.
class CannedServer
{
public:
    CannedServer(int status, std::string body)
    {
        const auto handler = [this, status, body](const httplib::Request &request,
                                                  httplib::Response &response) {
            m_lastBody = request.body;
            response.status = status;
            response.set_content(body, "application/json");
        };
        m_server.Get(".*", handler);
        m_server.Post(".*", handler);
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        // stop() has no effect on a server that does not run yet.
        while (!m_server.is_running())
            std::this_thread::yield();
    }
    ~CannedServer()
    {
        m_server.stop();
        m_thread.join();
    }
    HttpPlatformSettings settings() const
    {
        HttpPlatformSettings settings;
        settings.address = { "127.0.0.1", static_cast<std::uint16_t>(m_port) };
        settings.maxResponseBytes = 4096;
        return settings;
    }
    std::string lastBody() const { return m_lastBody; }

private:
    httplib::Server m_server;
    int m_port = 0;
    std::string m_lastBody;
    std::thread m_thread;
};

/// Listens with \a socket on a loopback port and returns the port.
std::uint16_t listenOnLoopback(int socket)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    socklen_t n = sizeof(address);
    CPPUNIT_ASSERT_EQUAL(0, bind(socket, generic, n));
    CPPUNIT_ASSERT_EQUAL(0, listen(socket, 1));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(socket, generic, &n));
    return ntohs(address.sin_port);
}

/// A TCP listener that accepts one connection, reads the request and sends \a response, if any.
class RawServer
{
public:
    explicit RawServer(std::string response)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        m_port = listenOnLoopback(m_socket);
        m_thread = std::thread([this, response = std::move(response)] {
            const int connection = accept(m_socket, nullptr, nullptr);
            char buf[4096];
            if (recv(connection, buf, sizeof(buf), 0) > 0)
                send(connection, response.data(), response.size(), MSG_NOSIGNAL);
            close(connection);
        });
    }
    ~RawServer()
    {
        m_thread.join();
        close(m_socket);
    }
    HttpPlatformSettings settings() const { return { { "127.0.0.1", m_port } }; }

private:
    int m_socket;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

/// Accepts one connection, reads the request, and sends \a start and then \a repeated again and
/// again, until the peer closes the connection or kMaxBytes were sent.
class EndlessServer
{
public:
    static constexpr std::size_t kMaxBytes = 64UL << 20U;

    EndlessServer(std::string start, const std::string &repeated)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        m_port = listenOnLoopback(m_socket);
        m_thread = std::thread([this, text = std::move(start), repeated]() mutable {
            const int connection = accept(m_socket, nullptr, nullptr);
            char buf[4096];
            ssize_t sent = recv(connection, buf, sizeof(buf), 0);
            while (sent > 0 && m_sentBytes < kMaxBytes) {
                sent = send(connection, text.data(), text.size(), MSG_NOSIGNAL);
                m_sentBytes += std::max<ssize_t>(sent, 0);
                for (text.clear(); text.size() < (64UL << 10U);)
                    text += repeated;
            }
            close(connection);
        });
    }
    ~EndlessServer()
    {
        m_thread.join();
        close(m_socket);
    }
    HttpPlatformSettings settings() const
    {
        HttpPlatformSettings settings{ { "127.0.0.1", m_port } };
        settings.maxResponseBytes = 1UL << 20U;
        return settings;
    }
    std::size_t sentBytes() const { return m_sentBytes; }

private:
    int m_socket;
    std::uint16_t m_port = 0;
    std::atomic<std::size_t> m_sentBytes = 0;
    std::thread m_thread;
};

struct Case
{
    int status;
    const char *body;
    absl::StatusCode expected;
};

} // namespace

class HttpPlatformTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpPlatformTest);
    CPPUNIT_TEST(appendErrorsTellWhetherTheRecordMayExist);
    CPPUNIT_TEST(lostAppendResponsesAreUnknown);
    CPPUNIT_TEST(refusedConnectionIsUnavailable);
    CPPUNIT_TEST(readsRejectMalformedResponses);
    CPPUNIT_TEST(recordWithoutTextIsReadAsAnEmptyOne);
    CPPUNIT_TEST(listRejectsMalformedResponses);
    CPPUNIT_TEST(oddInstanceHidesNoOther);
    CPPUNIT_TEST(rejectsWhatCannotBeSent);
    CPPUNIT_TEST(oversizedResponseIsAnError);
    CPPUNIT_TEST(endlessResponsesAreBounded);
    CPPUNIT_TEST(malformedRefusalOfAnAppendIsUnknown);
    CPPUNIT_TEST(threadsShareOnePlatform);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second append of a record that the first request did append.
    void appendErrorsTellWhetherTheRecordMayExist()
    {
        const Case cases[] = {
            { 200, R"({"offset":7})", absl::StatusCode::kOk },
            { 200, R"({"offset":"7"})", absl::StatusCode::kUnknown },
            { 200, R"({"offset":-7})", absl::StatusCode::kUnknown },
            { 200, "{", absl::StatusCode::kUnknown },
            { 200, "[]", absl::StatusCode::kUnknown },
            { 500, "", absl::StatusCode::kUnknown },
            { 503, R"({"offset":7})", absl::StatusCode::kUnknown },
            { 404, "", absl::StatusCode::kUnavailable },
        };
        for (const Case &item : cases) {
            const CannedServer server(item.status, item.body);
            HttpPlatform platform(server.settings());
            const auto offset = platform.append("configuration", "a \"b\"");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.body, int(item.expected),
                                         int(offset.status().code()));
            CPPUNIT_ASSERT_EQUAL(std::string(R"({"data":"a \"b\""})"), server.lastBody());
        }
    }

    void lostAppendResponsesAreUnknown()
    {
        for (const std::string response :
             { "", "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"off", "no HTTP\r\n\r\n" }) {
            const RawServer server(response);
            HttpPlatform platform(server.settings());
            CPPUNIT_ASSERT(absl::IsUnknown(platform.append("configuration", "x").status()));
        }
    }

    void refusedConnectionIsUnavailable()
    {
        HttpPlatformSettings settings;
        {
            const CannedServer server(200, "");
            settings = server.settings();
        }
        HttpPlatform platform(settings);
        CPPUNIT_ASSERT(absl::IsUnavailable(platform.append("configuration", "x").status()));
        CPPUNIT_ASSERT(absl::IsUnavailable(platform.read("configuration", 0, 1).status()));
        CPPUNIT_ASSERT(absl::IsUnavailable(platform.list().status()));
    }

    void readsRejectMalformedResponses()
    {
        const Case cases[] = {
            { 200, R"({"first":3,"next":9,"records":[{"offset":8,"data":"x"}]})",
              absl::StatusCode::kOk },
            { 200, R"({"first":3,"next":9,"records":[{"offset":4,"data":"x"}]})",
              absl::StatusCode::kUnavailable },
            { 200, R"({"first":3,"next":9,"records":[{"data":"x"}]})",
              absl::StatusCode::kUnavailable },
            { 200, R"({"first":3,"next":9,"records":[{"offset":"8","data":"x"}]})",
              absl::StatusCode::kUnavailable },
            { 200, R"({"first":3,"next":9,"records":[7]})", absl::StatusCode::kUnavailable },
            { 200, R"({"first":3,"next":9})", absl::StatusCode::kUnavailable },
            { 200, "\xff", absl::StatusCode::kUnavailable },
            { 200, R"({"first":6,"next":9,"records":[]})", absl::StatusCode::kOutOfRange },
            { 410, R"({"first":6})", absl::StatusCode::kOutOfRange },
            { 416, "", absl::StatusCode::kOutOfRange },
            { 503, "", absl::StatusCode::kUnavailable },
        };
        for (const Case &item : cases) {
            const CannedServer server(item.status, item.body);
            HttpPlatform platform(server.settings());
            const auto batch = platform.read("configuration", 5, 10);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.body, int(item.expected), int(batch.status().code()));
            if (item.body == std::string(R"({"first":6})"))
                CPPUNIT_ASSERT(firstOffsetOf(batch.status()) == std::uint64_t(6));
        }
    }

    // Guards against an entry that reads no change any more because of one record.
    void recordWithoutTextIsReadAsAnEmptyOne()
    {
        const std::vector<LogRecord> expected{ { 5, "x" }, { 6, "" }, { 8, "y" } };
        for (const std::string odd :
             { R"({"offset":6})", R"({"offset":6,"data":7})", R"({"offset":6,"data":null})",
               R"({"offset":6,"data":["x"]})", R"({"offset":6,"data":{}})" }) {
            const CannedServer server(200,
                                      R"({"first":3,"next":9,"records":[{"offset":5,"data":"x"},)"
                                              + odd + R"(,{"offset":8,"data":"y"}]})");
            HttpPlatform platform(server.settings());
            const auto batch = platform.read("configuration", 5, 10);
            CPPUNIT_ASSERT_MESSAGE(odd, batch.ok());
            CPPUNIT_ASSERT_MESSAGE(odd, expected == batch->records);
        }
    }

    void listRejectsMalformedResponses()
    {
        const Case cases[] = {
            { 200, R"({"instances":[{"id":"a","address":"127.0.0.1:1","state":"leaving"}]})",
              absl::StatusCode::kOk },
            { 200, R"({"instances":{}})", absl::StatusCode::kUnavailable },
            { 200, R"({"instances":null})", absl::StatusCode::kUnavailable },
            { 200, R"([{"id":"a","address":"127.0.0.1:1","state":"live"}])",
              absl::StatusCode::kUnavailable },
            { 200, R"({"instances":[{"id":"a","address":"127.0.0.1:1","state":"live"})",
              absl::StatusCode::kUnavailable },
        };
        for (const Case &item : cases) {
            const CannedServer server(item.status, item.body);
            HttpPlatform platform(server.settings());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.body, int(item.expected),
                                         int(platform.list().status().code()));
        }
    }

    // Guards against a list that is not read at all because of one entry.
    void oddInstanceHidesNoOther()
    {
        const std::vector<PlatformInstance> expected{
            { "a", { "127.0.0.1", 1 }, InstanceState::Live },
            { "b", { "127.0.0.1", 2 }, InstanceState::Leaving }
        };
        for (const std::string odd : { "7", "null", "[]", "{}", R"("x")",
                                       R"({"id":"x","address":"127.0.0.1","state":"live"})",
                                       R"({"id":"x","address":"127.0.0.1:3","state":"x"})",
                                       R"({"id":7,"address":"127.0.0.1:3","state":"live"})",
                                       R"({"id":"x","address":"127.0.0.1:3"})" }) {
            const CannedServer server(
                    200, R"({"instances":[{"id":"a","address":"127.0.0.1:1","state":"live"},)" + odd
                                 + R"(,{"id":"b","address":"127.0.0.1:2","state":"leaving"}]})");
            HttpPlatform platform(server.settings());
            const auto instances = platform.list();
            CPPUNIT_ASSERT_MESSAGE(odd, instances.ok());
            CPPUNIT_ASSERT_MESSAGE(odd, expected == *instances);
        }
    }

    void rejectsWhatCannotBeSent()
    {
        const CannedServer server(200, R"({"offset":7})");
        HttpPlatform platform(server.settings());
        CPPUNIT_ASSERT(absl::IsInvalidArgument(platform.append("configuration", "\xff").status()));
        CPPUNIT_ASSERT(absl::IsInvalidArgument(platform.append("../x", "x").status()));
        CPPUNIT_ASSERT(absl::IsInvalidArgument(platform.read("a b", 0, 1).status()));
    }

    // Guards against a response that fills the memory.
    void oversizedResponseIsAnError()
    {
        const CannedServer server(200, std::string(5000, ' '));
        HttpPlatform platform(server.settings());
        CPPUNIT_ASSERT(absl::IsResourceExhausted(platform.read("configuration", 0, 1).status()));
        CPPUNIT_ASSERT(absl::IsUnknown(platform.append("configuration", "x").status()));
    }

    // Guards against an instance that runs out of memory because the platform sends without end.
    void endlessResponsesAreBounded()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const std::pair<std::string, std::string> cases[] = {
            { "", "x" },
            { "HTTP/1.1 200 ", "x" },
            { ok + "X: ", "x" },
            { ok, "X-Field: value\r\n" },
            { "", "HTTP/1.1 100 Continue\r\n\r\n" },
            { ok + "\r\n", "x" },
            { ok + "Transfer-Encoding: chunked\r\n\r\n", "0" },
            { ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n" },
        };
        for (const auto &[start, repeated] : cases) {
            EndlessServer server(start, repeated);
            HttpPlatform platform(server.settings());
            CPPUNIT_ASSERT_MESSAGE(start + repeated, !platform.list().ok());
            // What was read, and what the system buffers on the way.
            CPPUNIT_ASSERT_MESSAGE(start + repeated,
                                   server.sentBytes() < EndlessServer::kMaxBytes / 4);
        }
    }

    // Guards against an append that may have happened being repeated.
    void malformedRefusalOfAnAppendIsUnknown()
    {
        for (const std::string response : {
                     "HTTP/1.1 404 No\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
                     "HTTP/1.1 404 No\r\nContent-Length : 0\r\n\r\n",
                     "HTTP/1.1 404 No\r\nContent-Length: 9\r\n\r\npart",
                     "HTTP/1.1 404 No\r\nTransfer-Encoding: gzip\r\n\r\n",
                     "HTTP/3.0 404 No\r\nContent-Length: 0\r\n\r\n",
             }) {
            const RawServer server(response);
            HttpPlatform platform(server.settings());
            CPPUNIT_ASSERT_MESSAGE(response, absl::IsUnknown(platform.append("a", "x").status()));
        }
    }

    void threadsShareOnePlatform()
    {
        const CannedServer server(200, R"({"first":0,"next":0,"records":[]})");
        HttpPlatform platform(server.settings());
        std::atomic<int> failures = 0;
        std::vector<std::thread> threads;
        for (int i = 0; i < 6; ++i) {
            threads.emplace_back([&] {
                for (int n = 0; n < 50; ++n)
                    failures += platform.read("configuration", 0, 1).ok() ? 0 : 1;
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(0, failures.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpPlatformTest);

} // namespace lycheebay
