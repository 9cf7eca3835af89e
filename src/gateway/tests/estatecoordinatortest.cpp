#include "gateway/relay/estatecoordinator.h"
#include "base/seededrandom.h"
#include "http/tests/loopfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

using namespace std::chrono_literals;

class EstateCoordinatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EstateCoordinatorTest);
    CPPUNIT_TEST(newsSurviveTheWire);
    CPPUNIT_TEST(badFramesAreRejected);
    CPPUNIT_TEST(changesTurnOneListIntoTheOther);
    CPPUNIT_TEST(formerReaderTellsItsFollowers);
    CPPUNIT_TEST(leavingReaderHandsOver);
    CPPUNIT_TEST(onlyTheReaderReadsWhileItsNewsCome);
    CPPUNIT_TEST(followerReadsWhenNewsAreLate);
    CPPUNIT_TEST(unsettledListIsNotPassedOn);
    CPPUNIT_TEST(idleInstanceReadsForARequest);
    CPPUNIT_TEST(requestsDoNotWaitWhileThePlatformIsAway);
    CPPUNIT_TEST(missedConfigurationIsCaughtUp);
    CPPUNIT_TEST(newsFromAnyOtherLinkAreRejected);
    CPPUNIT_TEST_SUITE_END();

    struct Source final : public IEstateSource
    {
        void start(IEstateSourceListener &it) override { listener = &it; }
        void readTargets() override { ++reads; }
        void readInstances() override { ++instanceReads; }
        void setConfigurationWait(Duration it) override { wait = it; }
        std::uint64_t configurationPosition() const override { return position; }
        void catchUpConfiguration(std::uint64_t it) override { caughtUp = it; }

        IEstateSourceListener *listener = nullptr;
        int reads = 0;
        int instanceReads = 0;
        Duration wait{};
        std::uint64_t position = 0;
        std::uint64_t caughtUp = 0;
    };

    struct Links final : public IPeerLinks
    {
        absl::Status start(IPeerLinkListener *) override { return absl::OkStatus(); }
        void stop() override {}
        void setDesired(std::vector<Address> it) override { desired = std::move(it); }
        void send(LinkId link, std::string frame) override { sent.emplace_back(link, frame); }
        void close(LinkId, std::string) override {}

        std::vector<Address> desired;
        std::vector<std::pair<LinkId, std::string>> sent;
    };

    struct Instance
    {
        Instance(LoopFixture &loop, IRandomSource &random, const std::string &id)
            : coordinator(loop.timers, loop.clock, random, blackboard, source, links,
                          { id, "r", { { "d1", "r" }, { "d2", "r" } }, 700 })
        {
            CPPUNIT_ASSERT(coordinator.start().ok());
        }

        void publishInstances(const std::vector<std::string> &ids)
        {
            auto list = makeRef<InstanceList>();
            for (const std::string &id : ids)
                list->instances.push_back({ id, { id, 80 }, "d1" });
            blackboard.instances.publish(IntrusivePtr<const InstanceList>(list));
        }

        GatewayBlackboard blackboard;
        Source source;
        Links links;
        EstateCoordinator coordinator;
    };

    static constexpr LinkId kLink = 7;

    std::unique_ptr<LoopFixture> m_loop;
    SeededRandom m_random{ 1 };
    std::unique_ptr<Instance> m_reader;
    std::unique_ptr<Instance> m_follower;

    static IntrusivePtr<const TargetList> listOf(const std::string &id)
    {
        TargetRecord it;
        it.id = id;
        it.service = "s";
        it.address = { "10.0.0.1", 80 };
        it.failureDomain = "d1";
        it.slots = 3;
        it.startedAtMs = 5;
        auto list = makeRef<TargetList>();
        list->targets.push_back(it);
        return IntrusivePtr<const TargetList>(list);
    }

    /// Two instances, one of which turns out to be the reader.
    void makePair()
    {
        auto a = std::make_unique<Instance>(*m_loop, m_random, "10.0.0.1:80");
        auto b = std::make_unique<Instance>(*m_loop, m_random, "10.0.0.2:80");
        for (Instance *it : { a.get(), b.get() })
            it->publishInstances({ "10.0.0.1:80", "10.0.0.2:80" });
        const bool firstReads = a->links.desired.empty();
        m_reader = std::move(firstReads ? a : b);
        m_follower = std::move(firstReads ? b : a);
        m_reader->coordinator.linkOpened(kLink, false, {});
        m_follower->coordinator.linkOpened(kLink, true, {});
    }

    void passFrames()
    {
        for (const auto &[link, frame] : m_reader->links.sent)
            CPPUNIT_ASSERT(m_follower->coordinator.frameReceived(kLink, frame).ok());
        m_reader->links.sent.clear();
    }

    void runFor(Duration span)
    {
        const TimePoint end = m_loop->clock.now() + span;
        m_loop->runUntil([&] { return m_loop->clock.now() >= end; });
    }

public:
    void setUp() override { m_loop = std::make_unique<LoopFixture>(); }

    void tearDown() override
    {
        m_reader.reset();
        m_follower.reset();
        m_loop.reset();
    }

    void newsSurviveTheWire()
    {
        const TimePoint now = m_loop->clock.now();
        const EstateNews news{ now - 120ms,
                               42,
                               { listOf("t")->targets, { "old" } },
                               { { { "i", { "10.0.0.1", 80 }, "d" } }, { "j" } } };
        const TimePoint later = now + 1h; // the other instance's clock
        const auto decoded = decodeNews(encodeNews(news, now), later);
        CPPUNIT_ASSERT(decoded.ok());
        EstateNews expected = news;
        expected.asOf = later - 120ms;
        CPPUNIT_ASSERT(expected == *decoded);
    }

    void badFramesAreRejected()
    {
        const TimePoint now = m_loop->clock.now();
        const std::string good = encodeNews({ now, 1, { listOf("t")->targets, {} }, {} }, now);
        CPPUNIT_ASSERT(!decodeNews("", now).ok());
        CPPUNIT_ASSERT(!decodeNews("not a frame at all", now).ok());
        CPPUNIT_ASSERT(!decodeNews(std::string_view(good).substr(0, good.size() / 2), now).ok());
    }

    void changesTurnOneListIntoTheOther()
    {
        SeededRandom random(4);
        std::vector<TargetRecord> from;
        for (int round = 0; round < 200; ++round) {
            std::vector<TargetRecord> to;
            for (int i = 0; i < 20; ++i) {
                TargetRecord it = listOf("t" + std::to_string(100 + i))->targets.front();
                it.leaving = random.below(3) == 0;
                if (random.below(3) > 0)
                    to.push_back(it);
            }
            const TargetsChange change = changeBetween(from, to);
            CPPUNIT_ASSERT_EQUAL(from == to, change.empty());
            applyChange(from, change);
            CPPUNIT_ASSERT(from == to);
        }
    }

    // Guards against followers that go on waiting for an instance which is no reader any more.
    void formerReaderTellsItsFollowers()
    {
        makePair();
        m_reader->coordinator.targetsRead(listOf("t"), m_loop->clock.now(), true);
        m_reader->links.sent.clear();
        auto others = makeRef<InstanceList>();
        for (int i = 1; i <= 40; ++i) {
            const std::string id = "10.0.0." + std::to_string(i) + ":80";
            others->instances.push_back({ id, { id, 80 }, "d1" });
        }
        m_reader->coordinator.instancesRead(IntrusivePtr<const InstanceList>(others));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_reader->links.sent.size());
        const auto news = decodeNews(m_reader->links.sent[0].second, m_loop->clock.now());
        CPPUNIT_ASSERT(news.ok());
        CPPUNIT_ASSERT(!news->instances.put.empty());
    }

    // Guards against an instance that becomes the reader but does not learn of it while the former
    // one, which leaves, still sends news.
    void leavingReaderHandsOver()
    {
        makePair();
        m_reader->coordinator.targetsRead(listOf("t"), m_loop->clock.now(), true);
        passFrames();
        const int before = m_follower->source.reads;
        m_reader->coordinator.leave();
        passFrames();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                             m_follower->blackboard.instances.read()->instances.size());
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_follower->source.reads > before; }));
        CPPUNIT_ASSERT(m_follower->source.wait <= 1s);
    }

    // Guards against every instance reading the platform, which has a price a call.
    void onlyTheReaderReadsWhileItsNewsCome()
    {
        makePair();
        m_reader->coordinator.targetsRead(listOf("t"), m_loop->clock.now(), true);
        passFrames();
        CPPUNIT_ASSERT(*m_follower->blackboard.targets.read() == *listOf("t"));
        m_follower->coordinator.noteUse();
        const int before = m_follower->source.reads;
        for (int i = 0; i < 4; ++i) {
            runFor(500ms);
            m_reader->coordinator.targetsRead(listOf("t"), m_loop->clock.now(), true);
            passFrames();
        }
        CPPUNIT_ASSERT_EQUAL(before, m_follower->source.reads);
        CPPUNIT_ASSERT(m_follower->source.wait > 10s);
        CPPUNIT_ASSERT(m_reader->source.wait <= 1s);
        CPPUNIT_ASSERT(m_reader->source.reads >= 1);
    }

    // Guards against an instance that trusts a reader which fell silent: a target that drains must
    // be found out two seconds after the platform was told.
    void followerReadsWhenNewsAreLate()
    {
        makePair();
        // An instance that has just started waits a little longer for its first news.
        for (int i = 0; i < 7; ++i) {
            runFor(500ms);
            m_reader->coordinator.targetsRead(listOf("t"), m_loop->clock.now(), true);
            passFrames();
        }
        m_follower->coordinator.noteUse();
        const TimePoint asOf = m_loop->clock.now();
        const int before = m_follower->source.reads;
        CPPUNIT_ASSERT(m_loop->runUntil([&] {
            m_follower->coordinator.noteUse();
            return m_follower->source.reads > before;
        }));
        CPPUNIT_ASSERT(m_loop->clock.now() - asOf < 1900ms);
        CPPUNIT_ASSERT(m_follower->source.wait <= 1s);
    }

    // Guards against a reader that was cut from the platform and still lists targets which the
    // others know to be gone.
    void unsettledListIsNotPassedOn()
    {
        makePair();
        m_reader->links.sent.clear();
        m_reader->coordinator.targetsRead(listOf("gone"), m_loop->clock.now(), false);
        CPPUNIT_ASSERT(m_reader->links.sent.empty());
        m_reader->coordinator.targetsRead(listOf("t"), m_loop->clock.now(), true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_reader->links.sent.size());
    }

    void idleInstanceReadsForARequest()
    {
        Instance alone(*m_loop, m_random, "10.0.0.9:80");
        bool served = false;
        const int before = alone.source.reads;
        alone.coordinator.whenRecent([&] { served = true; });
        CPPUNIT_ASSERT(!served);
        CPPUNIT_ASSERT_EQUAL(before + 1, alone.source.reads);
        alone.coordinator.targetsRead(listOf("t"), m_loop->clock.now(), true);
        CPPUNIT_ASSERT(served);
        bool servedAtOnce = false;
        alone.coordinator.whenRecent([&] { servedAtOnce = true; });
        CPPUNIT_ASSERT(servedAtOnce);
    }

    // Guards against requests that are held for reads which are known to fail.
    void requestsDoNotWaitWhileThePlatformIsAway()
    {
        Instance alone(*m_loop, m_random, "10.0.0.9:80");
        alone.coordinator.targetsRead(nullptr, m_loop->clock.now(), true);
        bool served = false;
        alone.coordinator.whenRecent([&] { served = true; });
        CPPUNIT_ASSERT(served);
    }

    // Guards against a read that waits and is not told of a change.
    void missedConfigurationIsCaughtUp()
    {
        makePair();
        m_reader->source.position = 9;
        m_reader->coordinator.targetsRead(listOf("t"), m_loop->clock.now(), true);
        passFrames();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, m_follower->source.caughtUp);
    }

    void newsFromAnyOtherLinkAreRejected()
    {
        makePair();
        const std::string frame =
                encodeNews({ m_loop->clock.now(), 1, {}, {} }, m_loop->clock.now());
        CPPUNIT_ASSERT(!m_follower->coordinator.frameReceived(kLink + 1, frame).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EstateCoordinatorTest);

} // namespace lycheebay
