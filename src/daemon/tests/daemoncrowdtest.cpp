#include "http/httpclientconnection.h"
#include "http/httpserialization.h"
#include "http/tests/loopfixture.h"
#include "standins/clients/clientcrowd.h"
#include "standins/process/childprocess.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <filesystem>
#include <iostream>
#include <memory>
#include <optional>

namespace lycheebay {

using namespace std::chrono_literals;
using standins::ChildProcess;
using standins::ClientCrowd;
using standins::ClientScript;

namespace {

constexpr std::size_t kMega = 1UL << 20U;
/// Memory that an instance may use for control (docs/CAPACITY.md).
constexpr std::size_t kMaxMemory = 128 * kMega;
constexpr std::size_t kMaxConnections = 64;
/// Connections, and what else the process opens: files, refusals, peers and the platform.
constexpr std::size_t kMaxDescriptors = kMaxConnections + 100;
constexpr std::size_t kMaxBodyBytes = 8 * kMega;

/// A body with a length that stops one byte short of its end, sent in pieces.
ClientScript shortBody(std::size_t bytes, std::size_t pieceBytes)
{
    ClientScript script;
    script.head = fmt::format("POST /cell/ HTTP/1.1\r\nHost: crowd\r\nContent-Length: {}\r\n\r\n",
                              bytes + 1);
    script.piece = std::string(pieceBytes, 'x');
    script.pieces = bytes / pieceBytes;
    return script;
}

} // namespace

/// Plays crowds of clients to a daemon. While a crowd stays connected, the process must live, stay
/// within its memory and its descriptors, and answer an ordinary request.
class DaemonCrowdTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DaemonCrowdTest);
    CPPUNIT_TEST(bodiesThatStopShort);
    CPPUNIT_TEST(bodiesInPiecesThatStopShort);
    CPPUNIT_TEST(manyBodiesOfOneMegabyte);
    CPPUNIT_TEST(slowBodiesOnEveryConnection);
    CPPUNIT_TEST(moreConnectionsThanTheLimit);
    CPPUNIT_TEST(idleConnectionsOnEveryThread);
    CPPUNIT_TEST_SUITE_END();

    LoopFixture m_loop;
    std::unique_ptr<ChildProcess> m_daemon;
    std::filesystem::path m_folder;

    static Address address() { return { "127.45.3.1", 18700 }; }

    std::unique_ptr<ClientCrowd> crowd(std::size_t size, ClientScript script)
    {
        return std::make_unique<ClientCrowd>(m_loop.context, m_loop.timers, address(), size,
                                             std::move(script));
    }

    void startDaemon(std::size_t maxConnections)
    {
        ChildProcess::Settings settings;
        settings.program = LYCHEEBAYD;
        settings.arguments = { "--instance-id",     "entry",
                               "--region",          "r",
                               "--failure-domain",  "a",
                               "--store-region",    "r",
                               "--listen",          address().toString(),
                               "--peer-listen",     "127.45.3.1:18701",
                               "--platform",        "127.45.3.2:1",
                               "--max-connections", std::to_string(maxConnections),
                               "--max-body-bytes",  std::to_string(kMaxBodyBytes) };
        settings.log = m_folder / "log";
        m_daemon = std::make_unique<ChildProcess>(settings);
        m_daemon->start();
        CPPUNIT_ASSERT_MESSAGE("the daemon does not answer", isAnswered());
    }

    /// Returns the status of the answer to an ordinary request; 0 if there was none.
    int statusOfOrdinaryRequest()
    {
        const auto connection = makeRef<HttpClientConnection>(
                m_loop.context, m_loop.timers, m_loop.clock, address(), ClientConnectionOptions());
        std::optional<int> status;
        connection->send(serializeRequest({ "GET", "/healthz", { { "Host", "entry" } }, {} }),
                         false, nullptr, [&](TransferResult result, const HttpResponse &response) {
                             status = result == TransferResult::Answered ? response.status : 0;
                         });
        m_loop.runUntil([&] { return status.has_value(); });
        connection->close();
        return status.value_or(0);
    }

    /// True if an ordinary request is answered, by a caller that repeats it when it is refused.
    bool isAnswered()
    {
        bool answered = false;
        m_loop.runUntil([&] { return answered = answered || statusOfOrdinaryRequest() == 200; });
        return answered;
    }

    /// Waits until the process has read what the clients have sent: until its largest memory stays
    /// the same for a while.
    void waitUntilRead()
    {
        std::size_t peak = 0;
        do {
            peak = m_daemon->peakMemory();
            m_loop.runFor(1s);
        } while (m_daemon->isRunning() && m_daemon->peakMemory() != peak);
    }

    void checkDaemon(std::size_t maxDescriptors)
    {
        CPPUNIT_ASSERT_MESSAGE("the process ended", m_daemon->isRunning());
        waitUntilRead();
        CPPUNIT_ASSERT_MESSAGE("the process ended", m_daemon->isRunning());
        CPPUNIT_ASSERT_MESSAGE("an ordinary request was not answered", isAnswered());
        CPPUNIT_ASSERT_MESSAGE("the process ended", m_daemon->isRunning());
        const std::size_t descriptors = m_daemon->descriptorCount();
        const std::size_t peak = m_daemon->peakMemory();
        std::cout << fmt::format(" {} MB, {} descriptors ", peak / kMega, descriptors);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} MB of {} MB", peak / kMega, kMaxMemory / kMega),
                               peak <= kMaxMemory);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} descriptors", descriptors),
                               descriptors <= maxDescriptors);
    }

    /// Plays a crowd until it has sent all and checks the daemon while the crowd is connected.
    void play(std::size_t size, ClientScript script)
    {
        startDaemon(kMaxConnections);
        const auto clients = crowd(size, std::move(script));
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return clients->isSettled(); }));
        checkDaemon(kMaxDescriptors);
    }

public:
    void setUp() override
    {
        m_folder =
                std::filesystem::temp_directory_path()
                / fmt::format("lycheebay-crowd-{}", m_loop.clock.now().time_since_epoch().count());
        std::filesystem::create_directories(m_folder);
    }

    void tearDown() override
    {
        m_daemon.reset();
        std::filesystem::remove_all(m_folder);
    }

    void bodiesThatStopShort() { play(40, shortBody(kMaxBodyBytes - 1, kMaxBodyBytes - 1)); }

    void bodiesInPiecesThatStopShort() { play(40, shortBody(7 * kMega, 1400)); }

    // The default limit of connections.
    void manyBodiesOfOneMegabyte()
    {
        constexpr std::size_t kDefaultConnections = 512;
        startDaemon(kDefaultConnections);
        const auto clients = crowd(400, shortBody(kMega - 1, kMega - 1));
        CPPUNIT_ASSERT(m_loop.runUntil([&] { return clients->isSettled(); }));
        checkDaemon(kDefaultConnections + 100);
    }

    void slowBodiesOnEveryConnection()
    {
        ClientScript script = shortBody(1000, 10);
        script.pause = 50ms;
        script.reconnects = true;
        startDaemon(kMaxConnections);
        const auto clients = crowd(2 * kMaxConnections, script);
        m_loop.runUntil([&] { return clients->isAnswered(); });
        checkDaemon(kMaxDescriptors);
    }

    void moreConnectionsThanTheLimit()
    {
        ClientScript script;
        script.head = "GET /";
        script.reconnects = true;
        play(10 * kMaxConnections, script);
    }

    void idleConnectionsOnEveryThread()
    {
        ClientScript script;
        script.head = "GET /healthz HTTP/1.1\r\nHost: crowd\r\n\r\n";
        script.reconnects = true;
        play(2 * kMaxConnections, script);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonCrowdTest);

} // namespace lycheebay
