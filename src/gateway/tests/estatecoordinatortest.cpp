#include "gateway/relay/estatecoordinator.h"
#include "base/seededrandom.h"
#include "http/tests/loopfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

using namespace std::chrono_literals;

class EstateCoordinatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EstateCoordinatorTest);
    CPPUNIT_TEST(updatesAreDecodedAsEncoded);
    CPPUNIT_TEST(positionsWithoutAnEraBelongToTheKnownOne);
    CPPUNIT_TEST(malformedFramesAreRejected);
    CPPUNIT_TEST(diffTurnsOneListIntoTheOther);
    CPPUNIT_TEST(formerReaderSendsTheListToItsFollowers);
    CPPUNIT_TEST(leavingReaderHandsOver);
    CPPUNIT_TEST(onlyTheReaderReadsWhileItsUpdatesArrive);
    CPPUNIT_TEST(followerReadsWhenUpdatesAreLate);
    CPPUNIT_TEST(outdatedListIsNotForwarded);
    CPPUNIT_TEST(idleInstanceReadsForARequest);
    CPPUNIT_TEST(requestsDoNotWaitWhileThePlatformIsUnreachable);
    CPPUNIT_TEST(configurationArrivesWithUpdates);
    CPPUNIT_TEST(readerWithoutConfigurationSendsNoUpdates);
    CPPUNIT_TEST(updateIsAsOldAsItsOperatorRecords);
    CPPUNIT_TEST(failedReadIsRepeatedWhenThePlatformAnswers);
    CPPUNIT_TEST(idleFollowerOfASilentReaderReadsTheConfiguration);
    CPPUNIT_TEST(readerIsOneOfTheLargestInstances);
    CPPUNIT_TEST(lostReaderIsReplacedAtOnce);
    CPPUNIT_TEST(silentReaderIsReplacedIfThePlatformAnswers);
    CPPUNIT_TEST(readerIsKeptWhileThePlatformIsUnreachable);
    CPPUNIT_TEST(instanceReadsForItsFollowers);
    CPPUNIT_TEST(updatesAreInTimeAfterALostRead);
    CPPUNIT_TEST(failedReadsBackOff);
    CPPUNIT_TEST(followerMakesOneCallWhileThePlatformIsUnreachable);
    CPPUNIT_TEST(followersLeaveTheFirstReadToTheirReader);
    CPPUNIT_TEST(restartedInstanceLooksForItsReaderAtOnce);
    CPPUNIT_TEST(onlyTheReaderReadsWhenTheWholeSystemStarts);
    CPPUNIT_TEST(updatesFromOtherLinksAreRejected);
    CPPUNIT_TEST(overflowOfAFollowerDecidesTheShares);
    CPPUNIT_TEST(reportsReachTheInstancesOfTheRegion);
    CPPUNIT_TEST(instanceThatLinksLaterGetsTheReportsThatHold);
    CPPUNIT_TEST(newReaderGetsTheReportsOfItsFollowers);
    CPPUNIT_TEST(reportWithoutALinkIsSentOnTheNextOne);
    CPPUNIT_TEST(restartedReaderGetsTheReportsOfTheNextInRank);
    CPPUNIT_TEST(readersOfTwoRegionsExchangeReports);
    CPPUNIT_TEST(formerReaderLinksAgainAsAFollower);
    CPPUNIT_TEST(unknownListIsNotSentAsAnEmptyOne);
    CPPUNIT_TEST(listThatWasNeverReceivedIsNotPublished);
    CPPUNIT_TEST(emptyListReplacesAKnownOne);
    CPPUNIT_TEST_SUITE_END();

    static LogPosition at(std::uint64_t offset) { return { 1, offset }; }

    struct FakeSource final : public IEstateSource
    {
        void start(IEstateSourceListener &it) override { listener = &it; }
        void readTargets() override
        {
            ++reads;
            if (onRead)
                onRead();
        }
        LogPosition targetsPosition() const override { return position; }
        void adoptTargets(const TargetList &it, const LogPosition &to, TimePoint) override
        {
            adopted = it.targets;
            position = to;
        }
        void readInstances() override { ++instanceReads; }
        void setOperatorPollTimeout(std::optional<Duration> it) override { pollTimeout = it; }
        std::optional<TimePoint> operatorRecordsReadAt() const override { return readAt; }
        LogPosition operatorRecordsPosition() const override { return records.position(); }
        std::uint64_t operatorRecordsRevision() const override { return records.revision(); }
        OperatorRecords operatorRecordsSince(std::uint64_t revision) const override
        {
            return records.recordsSince(revision);
        }
        void applyOperatorRecords(const OperatorRecords &it) override { records.apply(it); }

        IEstateSourceListener *listener = nullptr;
        /// Called for each read of the targets.
        std::function<void()> onRead;
        int reads = 0;
        int instanceReads = 0;
        LogPosition position;
        std::vector<TargetRecord> adopted;
        std::optional<Duration> pollTimeout = 0s;
        std::optional<TimePoint> readAt;
        const PositionPolicy policy;
        OperatorRecordTable records{ policy };
    };

    struct FakeLinks final : public IPeerLinks
    {
        absl::Status start(IPeerLinkListener *) override { return absl::OkStatus(); }
        void stop() override {}
        void setDesiredAddresses(std::vector<Address> it) override { desired = std::move(it); }
        void send(LinkId link, std::string frame) override { sent.emplace_back(link, frame); }
        void close(LinkId link, std::string) override { closed.push_back(link); }

        std::vector<Address> desired;
        std::vector<std::pair<LinkId, std::string>> sent;
        std::vector<LinkId> closed;
    };

    struct Instance
    {
        Instance(LoopFixture &loop, IRandomSource &random, const std::string &id,
                 bool wholeSystemStarts = false, const std::string &region = "r")
            : clock(loop.clock)
            , coordinator(loop.timers, loop.clock, random, blackboard, source, links,
                          { id,
                            region,
                            { { "d1", "r" }, { "d2", "r" }, { "e1", "q" } },
                            700,
                            2s,
                            wholeSystemStarts })
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

        /// Reports a successful read of a list with one target to the coordinator.
        void reportTargets(const std::string &id, bool upToDate = true)
        {
            source.readAt = clock.now();
            coordinator.targetsRead(makeTargetList(id), clock.now(), upToDate);
        }

        const IClock &clock;
        GatewayBlackboard blackboard;
        FakeSource source;
        FakeLinks links;
        EstateCoordinator coordinator;
    };

    static constexpr LinkId kLink = 7;

    std::unique_ptr<LoopFixture> m_loop;
    SeededRandom m_random{ 1 };
    RecordCompressor m_compressor;
    TimerSubscription m_answerTimer;
    std::unique_ptr<Instance> m_reader;
    std::unique_ptr<Instance> m_follower;

    static IntrusivePtr<const TargetList> makeTargetList(const std::string &id)
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

    /// Publishes a list of 38 small instances and two large ones; one of the large ones should
    /// read.
    static void publishLargeInstances(Instance &instance)
    {
        auto list = makeRef<InstanceList>();
        for (int i = 1; i <= 40; ++i) {
            const std::string id = "10.0.0." + std::to_string(i) + ":80";
            list->instances.push_back({ id, { id, 80 }, "d1", i > 38 ? 5.0 : 1.0 });
        }
        instance.blackboard.instances.publish(IntrusivePtr<const InstanceList>(list));
    }

    /// Creates two linked instances and assigns the roles of reader and follower by their choice.
    void makePair()
    {
        auto a = std::make_unique<Instance>(*m_loop, m_random, "10.0.0.1:80");
        auto b = std::make_unique<Instance>(*m_loop, m_random, "10.0.0.2:80");
        for (Instance *it : { a.get(), b.get() })
            it->publishInstances({ "10.0.0.1:80", "10.0.0.2:80" });
        const bool firstReads = a->coordinator.isReader();
        m_reader = std::move(firstReads ? a : b);
        m_follower = std::move(firstReads ? b : a);
        m_reader->coordinator.linkOpened(kLink, false, {});
        m_follower->coordinator.linkOpened(kLink, true, {});
        for (Instance *it : { m_reader.get(), m_follower.get() })
            it->source.records.apply({ at(1), true, { { "config", "first", at(0) } } });
    }

    /// Lets the platform answer the reads of \a instance from now on, with a list that does not yet
    /// allow to judge the reader.
    void answerReads(Instance &instance)
    {
        instance.source.onRead = [this, &instance] {
            m_answerTimer =
                    m_loop->timers.after(0ms, [&instance] { instance.reportTargets("t", false); });
        };
    }

    void deliverFrames()
    {
        for (const auto &[link, frame] : m_reader->links.sent)
            CPPUNIT_ASSERT(m_follower->coordinator.frameReceived(kLink, frame).ok());
        m_reader->links.sent.clear();
    }

public:
    void setUp() override { m_loop = std::make_unique<LoopFixture>(); }

    void tearDown() override
    {
        m_answerTimer.reset();
        m_reader.reset();
        m_follower.reset();
        m_loop.reset();
    }

    // Guards against a request that crashes targets behind each instance in turn, and against
    // requests to a target that leaves, as another instance knows.
    void reportsReachTheInstancesOfTheRegion()
    {
        static constexpr LinkId kOtherLink = 8;
        makePair();
        m_reader->coordinator.linkOpened(kOtherLink, false, {});
        auto found = makeRef<InstanceReport>();
        found->crashSuspects = { { 77, 2, 30s, {} } };
        found->leavingTargets = { "t@5" };
        m_follower->blackboard.reports.publish(IntrusivePtr<const InstanceReport>(found));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_follower->links.sent.size());
        CPPUNIT_ASSERT_EQUAL(kLink, m_follower->links.sent[0].first);
        const std::string frame = m_follower->links.sent[0].second;
        CPPUNIT_ASSERT(m_reader->coordinator.frameReceived(kLink, frame).ok());
        const auto atReader = m_reader->blackboard.peerReports.read();
        CPPUNIT_ASSERT(atReader && atReader->crashSuspects == found->crashSuspects);
        CPPUNIT_ASSERT(atReader->leavingTargets == found->leavingTargets);
        // The reader passes them on to the others only, and a follower to nobody.
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_reader->links.sent.size());
        CPPUNIT_ASSERT_EQUAL(kOtherLink, m_reader->links.sent[0].first);
        m_follower->coordinator.linkOpened(kOtherLink, false, {});
        m_follower->links.sent.clear();
        CPPUNIT_ASSERT(m_follower->coordinator.frameReceived(kLink, frame).ok());
        CPPUNIT_ASSERT(m_follower->links.sent.empty());
        // Its own report is not taken for one of another instance.
        CPPUNIT_ASSERT(!m_follower->blackboard.peerReports.read());
        // A report of another instance arrives, and is passed on once.
        m_reader->links.sent.clear();
        found = makeRef<InstanceReport>();
        found->leavingTargets = { "u@5" };
        m_reader->blackboard.reports.publish(IntrusivePtr<const InstanceReport>(found));
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT(
                    m_follower->coordinator.frameReceived(kLink, m_reader->links.sent.at(0).second)
                            .ok());
        CPPUNIT_ASSERT(m_follower->blackboard.peerReports.read()->leavingTargets
                       == found->leavingTargets);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_follower->links.sent.size());
        CPPUNIT_ASSERT_EQUAL(kOtherLink, m_follower->links.sent[0].first);
        // They say nothing about the lists.
        CPPUNIT_ASSERT(!m_follower->blackboard.targets.read());
    }

    // Guards against a request that crashes targets again behind each instance that has restarted.
    void instanceThatLinksLaterGetsTheReportsThatHold()
    {
        makePair();
        auto report = makeRef<InstanceReport>();
        report->crashSuspects = { { 77, 2, 30s, {} }, { 78, 1, 20ms, {} } };
        report->leavingTargets = { "t@5" };
        m_reader->blackboard.reports.publish(IntrusivePtr<const InstanceReport>(report));
        m_loop->runFor(50ms);
        m_reader->links.sent.clear();
        m_reader->coordinator.linkOpened(kLink + 1, false, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_reader->links.sent.size());
        const auto update = decodeUpdate(m_reader->links.sent[0].second, m_loop->clock.now());
        CPPUNIT_ASSERT(update.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, update->observations.crashSuspects.size());
        CPPUNIT_ASSERT(update->observations.crashSuspects[0].remaining < 30s);
        CPPUNIT_ASSERT(update->observations.leavingTargets == report->leavingTargets);
    }

    // Guards against a request that crashes targets behind an instance that was restarted and is
    // the reader again, although its followers know the request.
    void newReaderGetsTheReportsOfItsFollowers()
    {
        makePair();
        auto report = makeRef<InstanceReport>();
        report->crashSuspects = { { 77, 2, 30s, {} } };
        report->leavingTargets = { "t@5" };
        m_reader->blackboard.reports.publish(IntrusivePtr<const InstanceReport>(report));
        deliverFrames();
        CPPUNIT_ASSERT(m_follower->blackboard.peerReports.read());
        m_follower->coordinator.linkClosed(kLink);
        const auto restarted = std::make_unique<Instance>(*m_loop, m_random, "10.0.0.1:80");
        restarted->coordinator.linkOpened(kLink, false, {});
        m_follower->links.sent.clear();
        m_follower->coordinator.linkOpened(kLink, true, {});
        for (const auto &[link, frame] : m_follower->links.sent)
            CPPUNIT_ASSERT(restarted->coordinator.frameReceived(kLink, frame).ok());
        const auto received = restarted->blackboard.peerReports.read();
        CPPUNIT_ASSERT(received);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, received->crashSuspects.size());
        CPPUNIT_ASSERT(received->leavingTargets == report->leavingTargets);
    }

    void reportWithoutALinkIsSentOnTheNextOne()
    {
        makePair();
        m_follower->coordinator.linkClosed(kLink);
        auto report = makeRef<InstanceReport>();
        report->leavingTargets = { "t@5" };
        m_follower->blackboard.reports.publish(IntrusivePtr<const InstanceReport>(report));
        CPPUNIT_ASSERT(m_follower->links.sent.empty());
        m_follower->coordinator.linkOpened(kLink + 1, true, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_follower->links.sent.size());
        const auto update = decodeUpdate(m_follower->links.sent[0].second, m_loop->clock.now());
        CPPUNIT_ASSERT(update.ok());
        CPPUNIT_ASSERT(update->observations.leavingTargets == report->leavingTargets);
    }

    // Guards against a request that crashes targets behind a restarted reader until the others,
    // which avoid it for some seconds, follow it again.
    void restartedReaderGetsTheReportsOfTheNextInRank()
    {
        makePair();
        auto report = makeRef<InstanceReport>();
        report->crashSuspects = { { 77, 2, 30s, {} } };
        m_follower->blackboard.reports.publish(IntrusivePtr<const InstanceReport>(report));
        m_follower->coordinator.linkClosed(kLink);
        m_follower->links.sent.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_reader->links.desired.size());
        m_reader->coordinator.linkOpened(kLink, true, m_reader->links.desired[0]);
        m_follower->coordinator.linkOpened(kLink, false, {});
        const int reads = m_follower->source.reads;
        deliverFrames();
        for (const auto &[link, frame] : m_follower->links.sent)
            CPPUNIT_ASSERT(m_reader->coordinator.frameReceived(kLink, frame).ok());
        const auto received = m_reader->blackboard.peerReports.read();
        CPPUNIT_ASSERT(received && received->crashSuspects.size() == 1);
        // The link gets no updates.
        m_follower->links.sent.clear();
        m_follower->reportTargets("t");
        CPPUNIT_ASSERT(m_follower->links.sent.empty());
        CPPUNIT_ASSERT_EQUAL(reads, m_follower->source.reads);
    }

    // Guards against a request that crashes targets in each region, and against a report that
    // leaves the home regions of its request.
    void readersOfTwoRegionsExchangeReports()
    {
        Instance here(*m_loop, m_random, "10.0.0.1:80");
        Instance there(*m_loop, m_random, "10.1.0.1:80", false, "q");
        auto list = makeRef<InstanceList>();
        list->instances = { { "10.0.0.1:80", { "10.0.0.1", 80 }, "d1" },
                            { "10.1.0.1:80", { "10.1.0.1", 80 }, "e1" } };
        for (Instance *it : { &here, &there })
            it->blackboard.instances.publish(IntrusivePtr<const InstanceList>(list));
        const std::vector<Address> partners{ { "10.1.0.1", 700 } };
        CPPUNIT_ASSERT(here.links.desired == partners);
        here.coordinator.linkOpened(kLink, true, here.links.desired[0]);
        there.coordinator.linkOpened(kLink, false, { "10.0.0.1", 3456 });
        there.reportTargets("t");
        auto report = makeRef<InstanceReport>();
        report->crashSuspects = { { 77, 2, 30s, {} }, { 78, 2, 30s, { "r" } } };
        here.blackboard.reports.publish(IntrusivePtr<const InstanceReport>(report));
        for (const auto &[link, frame] : here.links.sent)
            CPPUNIT_ASSERT(there.coordinator.frameReceived(kLink, frame).ok());
        const auto received = there.blackboard.peerReports.read();
        CPPUNIT_ASSERT(received);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, received->crashSuspects.size());
        CPPUNIT_ASSERT_EQUAL(Fingerprint{ 77 }, received->crashSuspects[0].fingerprint);
        // It is not sent back, and the other region gets no lists.
        for (const auto &[link, frame] : there.links.sent) {
            const auto update = decodeUpdate(frame, m_loop->clock.now());
            CPPUNIT_ASSERT(update.ok() && !update->targets && update->observations.empty());
        }
    }

    // Guards against an instance without updates: its link for reports leads to its new reader.
    void formerReaderLinksAgainAsAFollower()
    {
        makePair();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_reader->links.desired.size());
        m_reader->coordinator.linkOpened(kLink + 1, true, m_reader->links.desired[0]);
        auto list = makeRef<InstanceList>();
        for (const GatewayInstance &it : m_reader->blackboard.instances.read()->instances) {
            list->instances.push_back(it);
            list->instances.back().weight =
                    it.address.host == m_reader->links.desired[0].host ? 2 : 1;
        }
        m_reader->blackboard.instances.publish(IntrusivePtr<const InstanceList>(list));
        CPPUNIT_ASSERT(!m_reader->coordinator.isReader());
        CPPUNIT_ASSERT(m_reader->links.closed == std::vector<LinkId>{ kLink + 1 });
    }

    // Guards against instances that name no address: the reader started last, sent an update before
    // it knew any instance, and its followers replaced their list by an empty one (review, case 3).
    void unknownListIsNotSentAsAnEmptyOne()
    {
        m_reader = std::make_unique<Instance>(*m_loop, m_random, "10.0.0.2:80");
        m_follower = std::make_unique<Instance>(*m_loop, m_random, "10.0.0.1:80");
        m_reader->source.records.apply({ at(1), true, { { "config", "first", at(0) } } });
        publishLargeInstances(*m_follower);
        const auto known = m_follower->blackboard.instances.read();
        m_follower->coordinator.linkOpened(kLink, true, {});
        m_reader->coordinator.linkOpened(kLink, false, {});
        m_reader->reportTargets("t");
        CPPUNIT_ASSERT(!m_reader->links.sent.empty());
        deliverFrames();
        CPPUNIT_ASSERT(*known == *m_follower->blackboard.instances.read());
        CPPUNIT_ASSERT(m_follower->blackboard.targets.read());
        m_reader->publishInstances({ "10.0.0.1:80", "10.0.0.2:80" });
        m_reader->reportTargets("t");
        deliverFrames();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                             m_follower->blackboard.instances.read()->instances.size());
    }

    // Guards against a list of targets or instances that is taken for empty because the sender does
    // not know it.
    void listThatWasNeverReceivedIsNotPublished()
    {
        makePair();
        m_follower->blackboard.targets.publish(makeTargetList("t"));
        EstateUpdate update;
        update.asOf = m_loop->clock.now();
        const std::string frame = encodeUpdate(update, m_loop->clock.now(), m_compressor);
        CPPUNIT_ASSERT(m_follower->coordinator.frameReceived(kLink, frame).ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                             m_follower->blackboard.instances.read()->instances.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                             m_follower->blackboard.targets.read()->targets.size());
        CPPUNIT_ASSERT(m_follower->source.adopted.empty());
    }

    // Guards against a list that stays although the reader knows that its last element has gone.
    void emptyListReplacesAKnownOne()
    {
        makePair();
        m_reader->reportTargets("t");
        deliverFrames();
        m_reader->coordinator.targetsRead(makeRef<const TargetList>(), m_loop->clock.now(), true);
        deliverFrames();
        CPPUNIT_ASSERT(m_follower->blackboard.targets.read()->targets.empty());
        // A follower that links later learns that the list is empty.
        m_reader->coordinator.linkClosed(kLink);
        m_reader->coordinator.linkOpened(kLink, false, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_reader->links.sent.size());
        const auto update = decodeUpdate(m_reader->links.sent[0].second, m_loop->clock.now());
        CPPUNIT_ASSERT(update.ok() && update->targets && update->targets->empty());
    }

    void updatesAreDecodedAsEncoded()
    {
        const TimePoint now = m_loop->clock.now();
        const EstateUpdate update{ now - 120ms,
                                   { at(42),
                                     true,
                                     { { "config", std::string(5000, 'x'), { std::nullopt, 40 } },
                                       { "drain/d", {}, { 0, 41 } } },
                                     { "drain/e" } },
                                   { 3, 77 },
                                   TargetListDiff{ makeTargetList("t")->targets, { "old" } },
                                   InstanceListDiff{ { { "i", { "10.0.0.1", 80 }, "d" } },
                                                     { "j" } },
                                   { { "home", 0.25 } },
                                   9,
                                   { { "far", 4, 5 } },
                                   { { { 77, 2, 30s, { "far" } } }, { "t@5" } },
                                   "q" };
        const TimePoint later = now + 1h; // the other instance's clock
        const auto decoded = decodeUpdate(encodeUpdate(update, now, m_compressor), later);
        CPPUNIT_ASSERT(decoded.ok());
        EstateUpdate expected = update;
        expected.asOf = later - 120ms;
        CPPUNIT_ASSERT(expected == *decoded);
    }

    // Guards against a follower that ignores the updates of a reader of an earlier version.
    void positionsWithoutAnEraBelongToTheKnownOne()
    {
        makePair();
        m_follower->source.position = { 2, 5 };
        EstateUpdate update;
        update.asOf = m_loop->clock.now();
        update.operatorRecords = { { std::nullopt, 9 },
                                   false,
                                   { { "config", "new", { std::nullopt, 8 } } } };
        update.targetsPosition = { std::nullopt, 6 };
        update.targets = TargetListDiff{ makeTargetList("t")->targets, {} };
        const std::string frame = encodeUpdate(update, update.asOf, m_compressor);
        CPPUNIT_ASSERT(m_follower->coordinator.frameReceived(kLink, frame).ok());
        CPPUNIT_ASSERT(at(9) == m_follower->source.records.position());
        CPPUNIT_ASSERT(m_follower->source.records.find("config")->value == "new");
        CPPUNIT_ASSERT(LogPosition(2, 6) == m_follower->source.position);
    }

    void malformedFramesAreRejected()
    {
        const TimePoint now = m_loop->clock.now();
        EstateUpdate update;
        update.asOf = now;
        update.targets = TargetListDiff{ makeTargetList("t")->targets, {} };
        const std::string good = encodeUpdate(update, now, m_compressor);
        CPPUNIT_ASSERT(!decodeUpdate("", now).ok());
        CPPUNIT_ASSERT(!decodeUpdate("not a frame at all", now).ok());
        CPPUNIT_ASSERT(!decodeUpdate(std::string_view(good).substr(0, good.size() / 2), now).ok());
    }

    void diffTurnsOneListIntoTheOther()
    {
        SeededRandom random(4);
        std::vector<TargetRecord> from;
        for (int round = 0; round < 200; ++round) {
            std::vector<TargetRecord> to;
            for (int i = 0; i < 20; ++i) {
                TargetRecord it = makeTargetList("t" + std::to_string(100 + i))->targets.front();
                it.leaving = random.below(3) == 0;
                if (random.below(3) > 0)
                    to.push_back(it);
            }
            const TargetListDiff diff = computeDiff(from, to);
            CPPUNIT_ASSERT_EQUAL(from == to, diff.empty());
            applyDiff(from, diff);
            CPPUNIT_ASSERT(from == to);
        }
    }

    // Guards against followers that keep waiting for updates from an instance that has stopped
    // being the reader.
    void formerReaderSendsTheListToItsFollowers()
    {
        makePair();
        m_reader->reportTargets("t");
        m_reader->links.sent.clear();
        auto others = makeRef<InstanceList>();
        for (int i = 1; i <= 40; ++i) {
            const std::string id = "10.0.0." + std::to_string(i) + ":80";
            others->instances.push_back({ id, { id, 80 }, "d1" });
        }
        m_reader->coordinator.instancesRead(IntrusivePtr<const InstanceList>(others));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_reader->links.sent.size());
        const auto update = decodeUpdate(m_reader->links.sent[0].second, m_loop->clock.now());
        CPPUNIT_ASSERT(update.ok());
        CPPUNIT_ASSERT(update->instances && !update->instances->upserted.empty());
    }

    // Guards against an instance that does not learn that it is the new reader, because the former
    // reader still sends updates while it leaves.
    void leavingReaderHandsOver()
    {
        makePair();
        m_reader->reportTargets("t");
        deliverFrames();
        const int before = m_follower->source.reads;
        m_reader->coordinator.leave();
        deliverFrames();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                             m_follower->blackboard.instances.read()->instances.size());
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_follower->source.reads > before; }));
        CPPUNIT_ASSERT(*m_follower->source.pollTimeout <= 1s);
    }

    // Guards against followers that rely on records which the reader has not been able to read for
    // seconds, because its reads of the targets succeeded: they served by an old configuration
    // beyond the bound (hunt-d3da-7, 125 instances).
    void updateIsAsOldAsItsOperatorRecords()
    {
        makePair();
        m_reader->source.readAt = m_loop->clock.now() - 1s;
        m_reader->coordinator.targetsRead(makeTargetList("t"), m_loop->clock.now(), true);
        CPPUNIT_ASSERT(!m_reader->links.sent.empty());
        const TimePoint receivedAt = m_loop->clock.now();
        const auto update = decodeUpdate(m_reader->links.sent.back().second, receivedAt);
        CPPUNIT_ASSERT(update.ok());
        CPPUNIT_ASSERT(receivedAt - update->asOf > 990ms);
    }

    // Guards against an instance that is in contact again but waits until the end of its back-off
    // before it learns of targets that have left.
    void failedReadIsRepeatedWhenThePlatformAnswers()
    {
        makePair();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_reader->source.reads == 1; }));
        m_reader->coordinator.platformRegained();
        CPPUNIT_ASSERT_EQUAL(1, m_reader->source.reads);
        m_reader->coordinator.targetsRead(nullptr, m_loop->clock.now(), false);
        m_reader->coordinator.platformRegained();
        CPPUNIT_ASSERT_EQUAL(2, m_reader->source.reads);
    }

    // Guards against every instance reading the platform, which charges for each call.
    void onlyTheReaderReadsWhileItsUpdatesArrive()
    {
        makePair();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_reader->source.reads == 1; }));
        CPPUNIT_ASSERT_EQUAL(0, m_follower->source.reads);
        m_reader->reportTargets("t");
        deliverFrames();
        CPPUNIT_ASSERT(*m_follower->blackboard.targets.read() == *makeTargetList("t"));
        CPPUNIT_ASSERT(m_follower->source.adopted == makeTargetList("t")->targets);
        m_follower->coordinator.markInUse();
        const int before = m_follower->source.reads;
        for (int i = 0; i < 4; ++i) {
            m_loop->runFor(500ms);
            m_reader->reportTargets("t");
            deliverFrames();
        }
        CPPUNIT_ASSERT_EQUAL(before, m_follower->source.reads);
        CPPUNIT_ASSERT(!m_follower->source.pollTimeout);
        CPPUNIT_ASSERT(*m_reader->source.pollTimeout <= 1s);
    }

    // Guards against an instance that relies on a reader which stopped sending updates. The
    // draining of a target must be detected within two seconds after the platform was told.
    void followerReadsWhenUpdatesAreLate()
    {
        makePair();
        // An instance that has just started waits longer for its first update.
        for (int i = 0; i < 7; ++i) {
            m_loop->runFor(500ms);
            m_reader->reportTargets("t");
            deliverFrames();
        }
        m_follower->coordinator.markInUse();
        answerReads(*m_follower);
        const TimePoint asOf = m_loop->clock.now();
        const int before = m_follower->source.reads;
        CPPUNIT_ASSERT(m_loop->runUntil([&] {
            m_follower->coordinator.markInUse();
            return m_follower->source.reads > before && m_follower->source.pollTimeout == 1s;
        }));
        CPPUNIT_ASSERT(m_loop->clock.now() - asOf < 1900ms);
    }

    // Guards against a reader that lost contact with the platform and sends a list with targets
    // that the other instances know to be removed.
    void outdatedListIsNotForwarded()
    {
        makePair();
        m_reader->links.sent.clear();
        m_reader->reportTargets("gone", false);
        CPPUNIT_ASSERT(m_reader->links.sent.empty());
        m_reader->reportTargets("t");
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_reader->links.sent.size());
    }

    void idleInstanceReadsForARequest()
    {
        Instance instance(*m_loop, m_random, "10.0.0.9:80");
        bool served = false;
        const int before = instance.source.reads;
        instance.coordinator.whenUpToDate([&] { served = true; });
        CPPUNIT_ASSERT(!served);
        CPPUNIT_ASSERT_EQUAL(before + 1, instance.source.reads);
        instance.coordinator.targetsRead(makeTargetList("t"), m_loop->clock.now(), true);
        CPPUNIT_ASSERT(served);
        bool servedAtOnce = false;
        instance.coordinator.whenUpToDate([&] { servedAtOnce = true; });
        CPPUNIT_ASSERT(servedAtOnce);
    }

    // Guards against requests that wait for a read although reads are known to fail.
    void requestsDoNotWaitWhileThePlatformIsUnreachable()
    {
        Instance instance(*m_loop, m_random, "10.0.0.9:80");
        instance.coordinator.targetsRead(nullptr, m_loop->clock.now(), true);
        bool served = false;
        instance.coordinator.whenUpToDate([&] { served = true; });
        CPPUNIT_ASSERT(served);
    }

    // Guards against every instance reading a large configuration over the link between regions. It
    // is part of the reader's updates and is sent only once.
    void configurationArrivesWithUpdates()
    {
        makePair();
        const std::string large(300'000, 'r');
        m_reader->source.records.apply({ at(9), false, { { "config", large, at(8) } } });
        m_reader->reportTargets("t");
        CPPUNIT_ASSERT(m_reader->links.sent.at(0).second.size() < large.size() / 10);
        deliverFrames();
        const OperatorRecords known = m_follower->source.records.recordsSince(0);
        CPPUNIT_ASSERT(at(9) == known.position);
        CPPUNIT_ASSERT(known.records.at(0).value == large);
        m_reader->reportTargets("t");
        const auto next = decodeUpdate(m_reader->links.sent.at(0).second, m_loop->clock.now());
        CPPUNIT_ASSERT(next.ok());
        CPPUNIT_ASSERT(next->operatorRecords.records.empty());
    }

    // Guards against a reader that reads the targets but not the configuration, for example because
    // one of its connections stalled. The other instances must detect this in time.
    void readerWithoutConfigurationSendsNoUpdates()
    {
        makePair();
        m_reader->reportTargets("t");
        m_reader->links.sent.clear();
        m_reader->source.readAt = m_loop->clock.now() - 1600ms;
        m_reader->coordinator.targetsRead(makeTargetList("t"), m_loop->clock.now(), true);
        CPPUNIT_ASSERT(m_reader->links.sent.empty());
    }

    // Guards against a follower of a silent reader that reads the configuration only with its next
    // read of the targets, which an idle instance makes after six seconds.
    void idleFollowerOfASilentReaderReadsTheConfiguration()
    {
        makePair();
        for (int i = 0; i < 5; ++i) {
            m_loop->runFor(500ms);
            m_reader->reportTargets("t");
            deliverFrames();
        }
        CPPUNIT_ASSERT(!m_follower->source.pollTimeout);
        answerReads(*m_follower);
        const TimePoint asOf = m_loop->clock.now();
        CPPUNIT_ASSERT(
                m_loop->runUntil([&] { return m_follower->source.pollTimeout.has_value(); }));
        CPPUNIT_ASSERT(m_loop->clock.now() - asOf < 1900ms);
    }

    // Guards against a small instance as the reader; it needs seconds to send a configuration to
    // all others.
    void readerIsOneOfTheLargestInstances()
    {
        Instance small(*m_loop, m_random, "10.0.0.1:80");
        publishLargeInstances(small);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, small.links.desired.size());
        const std::string &host = small.links.desired[0].host;
        CPPUNIT_ASSERT(host == "10.0.0.39:80" || host == "10.0.0.40:80");
    }

    // Guards against all followers of a failed reader reading the platform themselves until the
    // list of instances no longer contains the reader, about five seconds later.
    void lostReaderIsReplacedAtOnce()
    {
        Instance follower(*m_loop, m_random, "10.0.0.1:80");
        publishLargeInstances(follower);
        const std::string first = follower.links.desired.at(0).host;
        follower.coordinator.linkOpened(kLink, true, {});
        follower.coordinator.linkClosed(kLink);
        const std::string second = follower.links.desired.at(0).host;
        CPPUNIT_ASSERT(first != second);
        // The first reader is followed again after it had time to return.
        CPPUNIT_ASSERT(
                m_loop->runUntil([&] { return follower.links.desired.at(0).host == first; }));
    }

    void silentReaderIsReplacedIfThePlatformAnswers()
    {
        Instance follower(*m_loop, m_random, "10.0.0.1:80");
        publishLargeInstances(follower);
        const std::string first = follower.links.desired.at(0).host;
        const int before = follower.source.reads;
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return follower.source.reads > before; }));
        follower.reportTargets("t");
        CPPUNIT_ASSERT(first != follower.links.desired.at(0).host);
    }

    // Guards against followers that change their reader repeatedly during an outage of the
    // platform, so that there are many readers after it.
    void readerIsKeptWhileThePlatformIsUnreachable()
    {
        Instance follower(*m_loop, m_random, "10.0.0.1:80");
        publishLargeInstances(follower);
        const std::string first = follower.links.desired.at(0).host;
        m_loop->runFor(2500ms);
        follower.coordinator.targetsRead(nullptr, m_loop->clock.now(), true);
        follower.reportTargets("t", false);
        CPPUNIT_ASSERT_EQUAL(first, follower.links.desired.at(0).host);
    }

    // Guards against a single unanswered read, for example during a short pause of the platform,
    // that delays the updates so much that all followers read the platform themselves.
    void updatesAreInTimeAfterALostRead()
    {
        constexpr Duration kCallTimeout = 700ms;
        makePair();
        m_reader->reportTargets("t");
        const TimePoint asOf = m_loop->clock.now();
        const int before = m_reader->source.reads;
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_reader->source.reads > before; }));
        m_loop->runFor(kCallTimeout);
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
        CPPUNIT_ASSERT(*m_follower->source.pollTimeout <= 1s);
        m_follower->reportTargets("t");
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_follower->links.sent.size());
        CPPUNIT_ASSERT_EQUAL(kLink + 1, m_follower->links.sent[0].first);
        m_follower->coordinator.linkClosed(kLink + 1);
        CPPUNIT_ASSERT(!m_follower->source.pollTimeout);
    }

    // Guards against restarted instances that all read the platform themselves for two seconds.
    void restartedInstanceLooksForItsReaderAtOnce()
    {
        Instance instance(*m_loop, m_random, "10.0.0.9:80");
        const TimePoint start = m_loop->clock.now();
        instance.coordinator.instancesChanged();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return instance.source.instanceReads == 1; }));
        CPPUNIT_ASSERT(m_loop->clock.now() - start < 500ms);
        CPPUNIT_ASSERT_EQUAL(0, instance.source.reads);
    }

    // Guards against all instances calling an unreachable platform several times a second.
    void failedReadsBackOff()
    {
        Instance instance(*m_loop, m_random, "10.0.0.9:80");
        instance.coordinator.markInUse();
        const int before = instance.source.reads;
        const TimePoint end = m_loop->clock.now() + 6s;
        int known = before;
        instance.coordinator.targetsRead(nullptr, m_loop->clock.now(), true);
        m_loop->runUntil([&] {
            if (instance.source.reads > known) {
                known = instance.source.reads;
                instance.coordinator.targetsRead(nullptr, m_loop->clock.now(), true);
            }
            return m_loop->clock.now() >= end;
        });
        // Delays of 0.3, 0.6, 1.2, 2.4 and 2.4 s; jitter can halve each of them.
        CPPUNIT_ASSERT(known - before >= 3);
        CPPUNIT_ASSERT(known - before <= 9);
    }

    // Guards against several calls of each instance at the start of an outage of the platform, when
    // the updates of all readers are late.
    void followerMakesOneCallWhileThePlatformIsUnreachable()
    {
        makePair();
        m_reader->reportTargets("t");
        deliverFrames();
        m_follower->coordinator.instancesChanged();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_follower->source.reads == 1; }));
        m_follower->coordinator.targetsRead(nullptr, m_loop->clock.now(), false);
        m_loop->runFor(100ms);
        CPPUNIT_ASSERT(!m_follower->source.pollTimeout);
        CPPUNIT_ASSERT_EQUAL(0, m_follower->source.instanceReads);
        m_follower->reportTargets("t");
        CPPUNIT_ASSERT(m_follower->source.pollTimeout);
        CPPUNIT_ASSERT_EQUAL(1, m_follower->source.instanceReads);
    }

    // Guards against a read of every instance when the platform answers again. A follower whose
    // reader stays silent still reads within a fraction of the bound.
    void followersLeaveTheFirstReadToTheirReader()
    {
        makePair();
        m_reader->reportTargets("t");
        deliverFrames();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_follower->source.reads == 1; }));
        m_follower->coordinator.targetsRead(nullptr, m_loop->clock.now(), false);
        m_follower->coordinator.platformRegained();
        CPPUNIT_ASSERT_EQUAL(1, m_follower->source.reads);
        m_reader->reportTargets("t");
        deliverFrames();
        m_loop->runFor(700ms);
        CPPUNIT_ASSERT_EQUAL(1, m_follower->source.reads);
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_follower->source.reads == 2; }));
        m_follower->coordinator.targetsRead(nullptr, m_loop->clock.now(), false);
        m_follower->coordinator.platformRegained();
        const TimePoint regainedAt = m_loop->clock.now();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_follower->source.reads == 3; }));
        CPPUNIT_ASSERT(m_loop->clock.now() - regainedAt < 1s);
    }

    // Guards against every instance reading the whole state when all of them start, although no
    // caller is served yet. Without updates they still read the platform themselves.
    void onlyTheReaderReadsWhenTheWholeSystemStarts()
    {
        Instance instance(*m_loop, m_random, "10.0.0.9:80", true);
        CPPUNIT_ASSERT_EQUAL(0, instance.source.reads);
        CPPUNIT_ASSERT(!instance.source.pollTimeout);
        answerReads(instance);
        const TimePoint start = m_loop->clock.now();
        CPPUNIT_ASSERT(m_loop->runUntil(
                [&] { return instance.source.reads > 0 && instance.source.pollTimeout == 1s; }));
        CPPUNIT_ASSERT(m_loop->clock.now() - start < 2500ms);
    }

    void updatesFromOtherLinksAreRejected()
    {
        makePair();
        EstateUpdate update;
        update.asOf = m_loop->clock.now();
        const std::string frame = encodeUpdate(update, m_loop->clock.now(), m_compressor);
        CPPUNIT_ASSERT(!m_follower->coordinator.frameReceived(kLink + 1, frame).ok());
        CPPUNIT_ASSERT(!m_reader->coordinator.frameReceived(kLink + 1, frame).ok());
    }

    // The dispatchers that get requests from a home region without room are rarely the instances
    // that callers ask for addresses.
    void overflowOfAFollowerDecidesTheShares()
    {
        makePair();
        m_reader->reportTargets("t");
        deliverFrames();
        const auto share = [](const Instance &instance) {
            const auto shares = instance.blackboard.localShares.read();
            return shares && !shares->shares.empty() ? shares->shares.front().share : 0;
        };
        CPPUNIT_ASSERT(m_loop->runUntil([&] {
            auto counts = makeRef<OverflowCounts>();
            counts->placed = 10;
            counts->regions = { { "home", 8, 0 } };
            m_follower->blackboard.overflow.publish(IntrusivePtr<const OverflowCounts>(counts));
            for (const auto &[link, frame] : m_follower->links.sent)
                CPPUNIT_ASSERT(m_reader->coordinator.frameReceived(kLink, frame).ok());
            m_follower->links.sent.clear();
            m_reader->reportTargets("t");
            deliverFrames();
            return share(*m_follower) > 0.5;
        }));
        CPPUNIT_ASSERT_EQUAL(share(*m_reader), share(*m_follower));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EstateCoordinatorTest);

} // namespace lycheebay
