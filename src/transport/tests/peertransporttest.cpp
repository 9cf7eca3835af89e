#include "transport/peertransport.h"
#include "base/seededrandom.h"
#include "base/systemclock.h"
#include "membership/tests/testseed.h"
#include "transport/asiotimerservice.h"
#include "transport/internal/peercodec.h"
#include "transport/peernode.h"
#include "transport/tests/memoryfollower.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>

namespace lycheebay {

namespace {

using namespace std::chrono_literals;

constexpr auto kDeadline = 20s;

/// Polls \a condition until it holds or the deadline has passed.
bool waitUntil(const std::function<bool()> &condition)
{
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock(mutex);
    const auto deadline = std::chrono::steady_clock::now() + kDeadline;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        never.wait_for(lock, 2ms);
    }
    return true;
}

std::string withLength(const std::string &frame, std::size_t length)
{
    std::string bytes;
    for (int i = 0; i < 4; ++i)
        bytes.push_back(static_cast<char>((length >> (8 * i)) & 0xff));
    return bytes + frame;
}

std::string withLength(const std::string &frame)
{
    return withLength(frame, frame.size());
}

/// A PeerNode with TCP links on a free loopback port.
struct RealNode
{
    explicit RealNode(const std::string &id, Address bind = { "127.0.0.1", 0 })
        : lease({}, clock.now())
    {
        // The settings need the port in advance, so a temporary transport determines a free one.
        PeerTransport probe(io, { .bind = bind });
        CPPUNIT_ASSERT(probe.start(nullptr).ok());
        const Address address = probe.boundAddress();
        probe.stop();
        transport = std::make_unique<PeerTransport>(io, PeerTransportSettings{ .bind = address });
        PeerNodeSettings settings;
        settings.self.instanceId = id;
        settings.self.incarnation = systemRandomBits();
        settings.self.region = "sof";
        settings.self.peer = address;
        settings.startedAtMs = 1;
        node = std::make_unique<PeerNode>(settings, clock, *transport, follower, lease,
                                          PeerNodeCallbacks());
        CPPUNIT_ASSERT(node->start(timers).ok());
    }
    ~RealNode() { node->stop(); }

    bool isLinked() const
    {
        for (const PeerStatus &peer : node->peers()) {
            if (peer.linked)
                return true;
        }
        return false;
    }

    SystemClock clock;
    IoThread io;
    std::unique_ptr<PeerTransport> transport;
    MemoryFollower follower;
    ConfigurationLease lease;
    std::unique_ptr<PeerNode> node;
    AsioTimerService timers;
};

/// A client that sends raw bytes to a transport.
class RawPeer
{
public:
    explicit RawPeer(const Address &address)
        : m_socket(m_context)
    {
        m_socket.connect({ asio::ip::make_address(address.host), address.port });
    }

    void write(const std::string &bytes)
    {
        asio::error_code ec;
        asio::write(m_socket, asio::buffer(bytes), ec);
    }

    void endWriting()
    {
        asio::error_code ec;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    }

    /// Reads until the transport closes the link. Returns false at the deadline.
    bool isClosedByPeer()
    {
        m_socket.non_blocking(true);
        return waitUntil([&] {
            std::array<char, 4096> buf{};
            asio::error_code ec;
            m_socket.read_some(asio::buffer(buf), ec);
            return ec && ec != asio::error::would_block;
        });
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
};

/// Counts closed links and stores the id of the last opened one.
class CountingListener final : public IPeerLinkListener
{
public:
    void linkOpened(LinkId link, bool, const Address &) override { opened = link; }
    absl::Status frameReceived(LinkId, std::string_view) override { return absl::OkStatus(); }
    void linkClosed(LinkId) override { ++closed; }

    std::atomic<LinkId> opened = 0;
    std::atomic<int> closed = 0;
};

wire::HelloT someHello()
{
    wire::HelloT hello;
    RosterMember member;
    member.instanceId = "garbage";
    member.region = "sof";
    hello.identity = std::make_unique<wire::IdentityT>(toWireIdentity(member, 1));
    return hello;
}

std::string frameOfVersion(std::uint16_t version)
{
    wire::FrameT frame;
    frame.version = version;
    frame.body.Set(someHello());
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Frame::Pack(builder, &frame));
    return { reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize() };
}

std::string randomBytes(SeededRandom &random, std::size_t size)
{
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i)
        bytes.push_back(static_cast<char>(random.next()));
    return bytes;
}

std::string heartbeatWithManyMembers()
{
    wire::HeartbeatT heartbeat;
    for (int i = 0; i < 1000; ++i)
        heartbeat.members.push_back(std::make_unique<wire::MemberEntryT>(toWire(MemberUpdate())));
    return encodeFrame(std::move(heartbeat));
}

} // namespace

class PeerTransportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerTransportTest);
    CPPUNIT_TEST(garbageClosesTheLinkAndNothingElse);
    CPPUNIT_TEST(mutatedFramesNeverBreakTheDecoder);
    CPPUNIT_TEST(slowReaderLosesItsLink);
    CPPUNIT_TEST(timersFireAndCancel);
    CPPUNIT_TEST(reconnectsToARestartedPeer);
    CPPUNIT_TEST_SUITE_END();

public:
    void garbageClosesTheLinkAndNothingElse()
    {
        struct Case
        {
            const char *name;
            std::string bytes;
            bool endsWriting;
        };
        SeededRandom random(testSeed("garbageClosesTheLinkAndNothingElse"));
        const std::string hello = encodeFrame(someHello());
        const Case cases[] = {
            { "length zero", withLength("", 0), false },
            { "oversized", withLength("", (1 << 20) + 1), false },
            { "greatest length", withLength("", 0xffffffff), false },
            { "truncated length", "\x10", true },
            { "truncated frame", withLength(hello.substr(0, 20), hello.size()), true },
            { "frame cut short", withLength(hello.substr(0, 40)), false },
            { "random bytes", withLength(randomBytes(random, 200)), false },
            { "random without length", randomBytes(random, 4096), true },
            { "wrong version", withLength(frameOfVersion(2)), false },
            { "request before hello", withLength(encodeFrame(wire::RecordRequestT())), false },
            { "second hello", withLength(hello) + withLength(hello), false },
            { "too many members", withLength(hello) + withLength(heartbeatWithManyMembers()),
              false },
        };
        RealNode first("a");
        RealNode second("b");
        second.node->setSeeds({ first.transport->boundAddress() });
        CPPUNIT_ASSERT(waitUntil([&] { return first.isLinked() && second.isLinked(); }));
        for (const Case &it : cases) {
            RawPeer raw(first.transport->boundAddress());
            raw.write(it.bytes);
            if (it.endsWriting)
                raw.endWriting();
            CPPUNIT_ASSERT_MESSAGE(it.name, raw.isClosedByPeer());
            CPPUNIT_ASSERT_MESSAGE(it.name, first.isLinked() && second.isLinked());
        }
    }

    // Guards against corrupt frames that make the decoder read out of bounds or allocate too much.
    void mutatedFramesNeverBreakTheDecoder()
    {
        SeededRandom random(testSeed("mutatedFramesNeverBreakTheDecoder"));
        const std::string intact = encodeFrame(someHello());
        for (int i = 0; i < 20000; ++i) {
            std::string frame = intact;
            for (std::uint64_t n = 1 + random.below(4); n > 0; --n)
                frame[random.below(frame.size())] = static_cast<char>(random.next());
            static_cast<void>(decodeFrame(frame));
        }
        CPPUNIT_ASSERT(decodeFrame(intact).ok());
    }

    // Guards against unbounded memory use for a peer that does not read.
    void slowReaderLosesItsLink()
    {
        IoThread io;
        CountingListener listener;
        PeerTransportSettings settings{ .bind = { "127.0.0.1", 0 } };
        settings.maxQueuedBytes = std::size_t{ 1 } << 20;
        PeerTransport transport(io, settings);
        CPPUNIT_ASSERT(transport.start(&listener).ok());
        const RawPeer raw(transport.boundAddress());
        CPPUNIT_ASSERT(waitUntil([&] { return listener.opened != 0; }));
        std::size_t queued = 0;
        CPPUNIT_ASSERT(waitUntil([&] {
            transport.send(listener.opened, std::string(64 << 10, 'x'));
            queued = std::max(queued, transport.queuedBytes());
            return listener.closed == 1;
        }));
        CPPUNIT_ASSERT(queued <= settings.maxQueuedBytes + 1024);
        CPPUNIT_ASSERT(waitUntil([&] { return transport.queuedBytes() == 0; }));
    }

    void timersFireAndCancel()
    {
        AsioTimerService timers;
        std::atomic<int> periodic = 0;
        std::atomic<int> once = 0;
        std::atomic<int> cancelled = 0;
        static_cast<void>(timers.after(1h, [&] { ++cancelled; }));
        TimerSubscription every = timers.every(1ms, [&] { ++periodic; });
        const TimerSubscription after = timers.after(1ms, [&] { ++once; });
        CPPUNIT_ASSERT(waitUntil([&] { return periodic >= 5 && once == 1; }));
        // Callbacks run in one thread: once this timer has fired, a running periodic callback has
        // ended and the cancelled timer does not fire again.
        every.reset();
        std::atomic<bool> fence = false;
        const TimerSubscription first = timers.after(1ms, [&] { fence = true; });
        CPPUNIT_ASSERT(waitUntil([&] { return fence.load(); }));
        const int seen = periodic;
        const TimerSubscription last = timers.after(20ms, [&] { ++once; });
        CPPUNIT_ASSERT(waitUntil([&] { return once == 2; }));
        CPPUNIT_ASSERT_EQUAL(seen, periodic.load());
        CPPUNIT_ASSERT_EQUAL(0, cancelled.load());
    }

    void reconnectsToARestartedPeer()
    {
        RealNode first("a");
        auto second = std::make_unique<RealNode>("b");
        const Address address = second->transport->boundAddress();
        first.node->setSeeds({ address });
        CPPUNIT_ASSERT(waitUntil([&] { return first.isLinked(); }));
        second.reset();
        CPPUNIT_ASSERT(waitUntil([&] { return !first.isLinked(); }));
        first.follower.append("change");
        second = std::make_unique<RealNode>("c", address);
        CPPUNIT_ASSERT(waitUntil([&] { return second->follower.nextOffset() == 1; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTransportTest);

} // namespace lycheebay
