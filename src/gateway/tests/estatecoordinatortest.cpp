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
    CPPUNIT_TEST(configurationComesWithTheNews);
    CPPUNIT_TEST(readerWithoutConfigurationSendsNoNews);
    CPPUNIT_TEST(idleFollowerOfASilentReaderReadsTheConfiguration);
    CPPUNIT_TEST(oneOfTheLargestReads);
    CPPUNIT_TEST(lostReaderIsReplacedAtOnce);
    CPPUNIT_TEST(silentReaderIsReplacedIfThePlatformAnswers);
    CPPUNIT_TEST(nobodyIsReplacedWhileThePlatformIsAway);
    CPPUNIT_TEST(instanceReadsForItsFollowers);
    CPPUNIT_TEST(newsAreInTimeAfterALostRead);
    CPPUNIT_TEST(failedReadsBackOff);
    CPPUNIT_TEST(restartedInstanceLooksForItsReaderAtOnce);
    CPPUNIT_TEST(nobodyButTheReaderReadsWhenTheWholeSystemStarts);
    CPPUNIT_TEST(newsFromAnyOtherLinkAreRejected);
    CPPUNIT_TEST_SUITE_END();

    struct Source final : public IEstateSource
    {
        void start(IEstateSourceListener &it) override { listener = &it; }
        void readTargets() override { ++reads; }
        std::uint64_t targetsPosition() const override { return position; }
        void adoptTargets(const TargetList &it, std::uint64_t to) override
        {
            adopted = it.targets;
            position = to;
        }
        void readInstances() override { ++instanceReads; }
        void setOperatorPollTimeout(std::optional<Duration> it) override { wait = it; }
        std::optional<TimePoint> operatorRecordsReadAt() const override { return readAt; }
        std::uint64_t operatorRecordsPosition() const override { return records.position(); }
        OperatorRecords operatorRecordsSince(std::uint64_t since) const override
        {
            return records.recordsSince(since);
        }
        void applyOperatorRecords(const OperatorRecords &it) override { records.apply(it); }

        IEstateSourceListener *listener = nullptr;
        int reads = 0;
        int instanceReads = 0;
        std::uint64_t position = 0;
        std::vector<TargetRecord> adopted;
        std::optional<Duration> wait = 0s;
        std::optional<TimePoint> readAt;
        OperatorRecordTable records;
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
        Instance(LoopFixture &loop, IRandomSource &random, const std::string &id,
                 bool wholeSystemStarts = false)
            : clock(loop.clock)
            , coordinator(loop.timers, loop.clock, random, blackboard, source, links,
                          { id, "r", { { "d1", "r" }, { "d2", "r" } }, 700, 2s, wholeSystemStarts })
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

        void readTargets(const std::string &id, bool settled = true)
        {
            source.readAt = clock.now();
            coordinator.targetsRead(listOf(id), clock.now(), settled);
        }

        const IClock &clock;
        GatewayBlackboard blackboard;
        Source source;
        Links links;
        EstateCoordinator coordinator;
    };

    static constexpr LinkId kLink = 7;

    std::unique_ptr<LoopFixture> m_loop;
    SeededRandom m_random{ 1 };
    RecordCompressor m_packer;
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

    /// Lists two large instances, one of which is to read, among small ones.
    static void publishLargeOnes(Instance &instance)
    {
        auto list = makeRef<InstanceList>();
        for (int i = 1; i <= 40; ++i) {
            const std::string id = "10.0.0." + std::to_string(i) + ":80";
            list->instances.push_back({ id, { id, 80 }, "d1", i > 38 ? 5.0 : 1.0 });
        }
        instance.blackboard.instances.publish(IntrusivePtr<const InstanceList>(list));
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
        for (Instance *it : { m_reader.get(), m_follower.get() })
            it->source.records.apply({ 1, true, { { "config", "first", 0 } } });
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
        const EstateUpdate news{
            now - 120ms,
            { 42, true, { { "config", std::string(5000, 'x'), 40 }, { "drain/d", {}, 41 } } },
            77,
            { listOf("t")->targets, { "old" } },
            { { { "i", { "10.0.0.1", 80 }, "d" } }, { "j" } }
        };
        const TimePoint later = now + 1h; // the other instance's clock
        const auto decoded = decodeUpdate(encodeUpdate(news, now, m_packer), later);
        CPPUNIT_ASSERT(decoded.ok());
        EstateUpdate expected = news;
        expected.asOf = later - 120ms;
        CPPUNIT_ASSERT(expected == *decoded);
    }

    void badFramesAreRejected()
    {
        const TimePoint now = m_loop->clock.now();
        const std::string good =
                encodeUpdate({ now, {}, 0, { listOf("t")->targets, {} }, {} }, now, m_packer);
        CPPUNIT_ASSERT(!decodeUpdate("", now).ok());
        CPPUNIT_ASSERT(!decodeUpdate("not a frame at all", now).ok());
        CPPUNIT_ASSERT(!decodeUpdate(std::string_view(good).substr(0, good.size() / 2), now).ok());
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
        m_reader->readTargets("t");
        m_reader->links.sent.clear();
        auto others = makeRef<InstanceList>();
        for (int i = 1; i <= 40; ++i) {
            const std::string id = "10.0.0." + std::to_string(i) + ":80";
            others->instances.push_back({ id, { id, 80 }, "d1" });
        }
        m_reader->coordinator.instancesRead(IntrusivePtr<const InstanceList>(others));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_reader->links.sent.size());
        const auto news = decodeUpdate(m_reader->links.sent[0].second, m_loop->clock.now());
        CPPUNIT_ASSERT(news.ok());
        CPPUNIT_ASSERT(!news->instances.put.empty());
    }

    // Guards against an instance that becomes the reader but does not learn of it while the former
    // one, which leaves, still sends news.
    void leavingReaderHandsOver()
    {
        makePair();
        m_reader->readTargets("t");
        passFrames();
        const int before = m_follower->source.reads;
        m_reader->coordinator.leave();
        passFrames();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                             m_follower->blackboard.instances.read()->instances.size());
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_follower->source.reads > before; }));
        CPPUNIT_ASSERT(*m_follower->source.wait <= 1s);
    }

    // Guards against every instance reading the platform, which has a price a call.
    void onlyTheReaderReadsWhileItsNewsCome()
    {
        makePair();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_reader->source.reads == 1; }));
        CPPUNIT_ASSERT_EQUAL(0, m_follower->source.reads);
        m_reader->readTargets("t");
        passFrames();
        CPPUNIT_ASSERT(*m_follower->blackboard.targets.read() == *listOf("t"));
        CPPUNIT_ASSERT(m_follower->source.adopted == listOf("t")->targets);
        m_follower->coordinator.noteUse();
        const int before = m_follower->source.reads;
        for (int i = 0; i < 4; ++i) {
            runFor(500ms);
            m_reader->readTargets("t");
            passFrames();
        }
        CPPUNIT_ASSERT_EQUAL(before, m_follower->source.reads);
        CPPUNIT_ASSERT(!m_follower->source.wait);
        CPPUNIT_ASSERT(*m_reader->source.wait <= 1s);
    }

    // Guards against an instance that trusts a reader which fell silent: a target that drains must
    // be found out two seconds after the platform was told.
    void followerReadsWhenNewsAreLate()
    {
        makePair();
        // An instance that has just started waits a little longer for its first news.
        for (int i = 0; i < 7; ++i) {
            runFor(500ms);
            m_reader->readTargets("t");
            passFrames();
        }
        m_follower->coordinator.noteUse();
        const TimePoint asOf = m_loop->clock.now();
        const int before = m_follower->source.reads;
        CPPUNIT_ASSERT(m_loop->runUntil([&] {
            m_follower->coordinator.noteUse();
            return m_follower->source.reads > before && m_follower->source.wait == 1s;
        }));
        CPPUNIT_ASSERT(m_loop->clock.now() - asOf < 1900ms);
    }

    // Guards against a reader that was cut from the platform and still lists targets which the
    // others know to be gone.
    void unsettledListIsNotPassedOn()
    {
        makePair();
        m_reader->links.sent.clear();
        m_reader->readTargets("gone", false);
        CPPUNIT_ASSERT(m_reader->links.sent.empty());
        m_reader->readTargets("t");
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

    // Guards against every instance reading a large configuration over the link between regions:
    // it comes with the reader's news, and only once.
    void configurationComesWithTheNews()
    {
        makePair();
        const std::string large(300'000, 'r');
        m_reader->source.records.apply({ 9, false, { { "config", large, 8 } } });
        m_reader->readTargets("t");
        CPPUNIT_ASSERT(m_reader->links.sent.at(0).second.size() < large.size() / 10);
        passFrames();
        const OperatorRecords known = m_follower->source.records.recordsSince(0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, known.position);
        CPPUNIT_ASSERT(known.records.at(0).value == large);
        m_reader->readTargets("t");
        const auto next = decodeUpdate(m_reader->links.sent.at(0).second, m_loop->clock.now());
        CPPUNIT_ASSERT(next.ok());
        CPPUNIT_ASSERT(next->operatorRecords.records.empty());
    }

    // Guards against a reader that reads the targets but not the configuration, for instance since
    // one of its connections went silent: the others must find that out in time.
    void readerWithoutConfigurationSendsNoNews()
    {
        makePair();
        m_reader->readTargets("t");
        m_reader->links.sent.clear();
        m_reader->source.readAt = m_loop->clock.now() - 1600ms;
        m_reader->coordinator.targetsRead(listOf("t"), m_loop->clock.now(), true);
        CPPUNIT_ASSERT(m_reader->links.sent.empty());
    }

    // Guards against a follower of a silent reader that asks for the configuration only when it
    // next reads the targets, which an idle instance does after six seconds.
    void idleFollowerOfASilentReaderReadsTheConfiguration()
    {
        makePair();
        for (int i = 0; i < 5; ++i) {
            runFor(500ms);
            m_reader->readTargets("t");
            passFrames();
        }
        CPPUNIT_ASSERT(!m_follower->source.wait);
        const TimePoint asOf = m_loop->clock.now();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_follower->source.wait.has_value(); }));
        CPPUNIT_ASSERT(m_loop->clock.now() - asOf < 1900ms);
    }

    // Guards against a small instance that needs seconds to send a configuration to all others.
    void oneOfTheLargestReads()
    {
        Instance small(*m_loop, m_random, "10.0.0.1:80");
        publishLargeOnes(small);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, small.links.desired.size());
        const std::string &host = small.links.desired[0].host;
        CPPUNIT_ASSERT(host == "10.0.0.39:80" || host == "10.0.0.40:80");
    }

    // Guards against all followers of a reader that died reading by themselves until the list of
    // instances shows it, some five seconds later.
    void lostReaderIsReplacedAtOnce()
    {
        Instance follower(*m_loop, m_random, "10.0.0.1:80");
        publishLargeOnes(follower);
        const std::string first = follower.links.desired.at(0).host;
        follower.coordinator.linkOpened(kLink, true, {});
        follower.coordinator.linkClosed(kLink);
        const std::string second = follower.links.desired.at(0).host;
        CPPUNIT_ASSERT(first != second);
        // It is followed again once it had time to come back.
        CPPUNIT_ASSERT(
                m_loop->runUntil([&] { return follower.links.desired.at(0).host == first; }));
    }

    void silentReaderIsReplacedIfThePlatformAnswers()
    {
        Instance follower(*m_loop, m_random, "10.0.0.1:80");
        publishLargeOnes(follower);
        const std::string first = follower.links.desired.at(0).host;
        const int before = follower.source.reads;
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return follower.source.reads > before; }));
        follower.readTargets("t");
        CPPUNIT_ASSERT(first != follower.links.desired.at(0).host);
    }

    // Guards against followers that change their reader again and again in an outage, which leaves
    // them with many readers after it.
    void nobodyIsReplacedWhileThePlatformIsAway()
    {
        Instance follower(*m_loop, m_random, "10.0.0.1:80");
        publishLargeOnes(follower);
        const std::string first = follower.links.desired.at(0).host;
        runFor(2500ms);
        follower.coordinator.targetsRead(nullptr, m_loop->clock.now(), true);
        follower.readTargets("t", false);
        CPPUNIT_ASSERT_EQUAL(first, follower.links.desired.at(0).host);
    }

    // Guards against one read without an answer, as in a short pause of the platform, that makes
    // the news late and all followers read by themselves.
    void newsAreInTimeAfterALostRead()
    {
        constexpr Duration kCallTimeout = 700ms;
        makePair();
        m_reader->readTargets("t");
        const TimePoint asOf = m_loop->clock.now();
        const int before = m_reader->source.reads;
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_reader->source.reads > before; }));
        runFor(kCallTimeout);
        m_reader->coordinator.targetsRead(nullptr, m_loop->clock.now(), true);
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_reader->source.reads > before + 1; }));
        CPPUNIT_ASSERT(m_loop->clock.now() - asOf < 1500ms);
    }

    void instanceReadsForItsFollowers()
    {
        makePair();
        m_follower->links.sent.clear();
        const int before = m_follower->source.reads;
        m_follower->coordinator.linkOpened(kLink + 1, false, {});
        CPPUNIT_ASSERT_EQUAL(before + 1, m_follower->source.reads);
        CPPUNIT_ASSERT(*m_follower->source.wait <= 1s);
        m_follower->readTargets("t");
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_follower->links.sent.size());
        CPPUNIT_ASSERT_EQUAL(kLink + 1, m_follower->links.sent[0].first);
        m_follower->coordinator.linkClosed(kLink + 1);
        CPPUNIT_ASSERT(!m_follower->source.wait);
    }

    // Guards against restarted instances that all read by themselves for two seconds.
    void restartedInstanceLooksForItsReaderAtOnce()
    {
        Instance one(*m_loop, m_random, "10.0.0.9:80");
        const TimePoint start = m_loop->clock.now();
        one.coordinator.instancesChanged();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return one.source.instanceReads == 1; }));
        CPPUNIT_ASSERT(m_loop->clock.now() - start < 500ms);
        CPPUNIT_ASSERT_EQUAL(0, one.source.reads);
    }

    // Guards against all instances calling a platform that is away several times a second.
    void failedReadsBackOff()
    {
        Instance alone(*m_loop, m_random, "10.0.0.9:80");
        alone.coordinator.noteUse();
        const int before = alone.source.reads;
        const TimePoint end = m_loop->clock.now() + 6s;
        int known = before;
        alone.coordinator.targetsRead(nullptr, m_loop->clock.now(), true);
        m_loop->runUntil([&] {
            if (alone.source.reads > known) {
                known = alone.source.reads;
                alone.coordinator.targetsRead(nullptr, m_loop->clock.now(), true);
            }
            return m_loop->clock.now() >= end;
        });
        // Pauses of 0.3, 0.6, 1.2, 1.6, 1.6 s, each half as long at the least.
        CPPUNIT_ASSERT(known - before >= 3);
        CPPUNIT_ASSERT(known - before <= 9);
    }

    // Guards against every instance reading everything when all of them start, though no caller is
    // served yet; they still read by themselves when no news come.
    void nobodyButTheReaderReadsWhenTheWholeSystemStarts()
    {
        Instance one(*m_loop, m_random, "10.0.0.9:80", true);
        CPPUNIT_ASSERT_EQUAL(0, one.source.reads);
        CPPUNIT_ASSERT(!one.source.wait);
        const TimePoint start = m_loop->clock.now();
        CPPUNIT_ASSERT(
                m_loop->runUntil([&] { return one.source.reads > 0 && one.source.wait == 1s; }));
        CPPUNIT_ASSERT(m_loop->clock.now() - start < 2500ms);
    }

    void newsFromAnyOtherLinkAreRejected()
    {
        makePair();
        const std::string frame =
                encodeUpdate({ m_loop->clock.now(), {}, 0, {}, {} }, m_loop->clock.now(), m_packer);
        CPPUNIT_ASSERT(!m_follower->coordinator.frameReceived(kLink + 1, frame).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EstateCoordinatorTest);

} // namespace lycheebay
