#include "configuration/configurationpoller.h"
#include "configuration/tests/fakelog.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <atomic>
#include <thread>

namespace lycheebay {

namespace {

struct Reader
{
    Topic<ConfigurationState> topic;
    ConfigurationFollower follower{ topic };
};

ChangeBody randomBody()
{
    const std::string name = std::to_string(*rc::gen::inRange(1, 3));
    const std::uint64_t incarnation = *rc::gen::inRange(1, 4);
    EstateData data = sampleEstate();
    data.targets[0].drained = *rc::gen::arbitrary<bool>();
    data.services.push_back("s" + name);
    std::vector<ChangeBody> bodies{
        SheetBody{ data, { Revision(*rc::gen::inRange(0, 30)) } },
        DrainDomainBody{ "sof-a" },
        RestoreDomainBody{ "sof-a" },
        DrainTargetBody{ "kat-" + name },
        RestoreTargetBody{ "kat-" + name },
        AddStopBody{ sampleStop("s" + name) },
        RemoveStopBody{ "s" + name },
        JoinBody{ sampleMember("e-" + name, incarnation) },
        LeaveBody{ "e-" + name, incarnation },
    };
    return bodies[*rc::gen::inRange<std::size_t>(0, bodies.size())];
}

/// Appends a random record; a snapshot is of a state from before the last \a late records.
void appendRandom(FakeLog &log, std::vector<IntrusivePtr<const ConfigurationState>> &states)
{
    const int kind = *rc::gen::inRange(0, 8);
    std::string record = "damaged";
    const auto late = *rc::gen::inRange<std::size_t>(0, std::min<std::size_t>(3, states.size()));
    const auto &earlier = *states[states.size() - 1 - late];
    if (kind == 0 && earlier.nextOffset() > 0) {
        record = *encodeChange(makeChange("snap", 0, ChangeApplier::snapshotOf(earlier)));
    } else if (kind > 1) {
        const std::string id = "c" + std::to_string(*rc::gen::inRange(0, 40));
        record = *encodeChange(makeChange(id, earlier.revision(), randomBody()));
    }
    ChangeApplier applier(*states.back());
    applier.apply({ *log.append(kConfigurationStream, record), record });
    states.push_back(applier.state());
}

} // namespace

class FollowerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FollowerTest);
    CPPUNIT_TEST(everyPathEndsInTheSameState);
    CPPUNIT_TEST(retentionWithoutSnapshotIsAnError);
    CPPUNIT_TEST(badBatchesChangeNothing);
    CPPUNIT_TEST(forgedPeerSnapshotInLogIsHarmless);
    CPPUNIT_TEST(keptRecordsAreBounded);
    CPPUNIT_TEST(olderPeerSnapshotNeverReverts);
    CPPUNIT_TEST(concurrentOffersNeverRevert);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against readers that disagree: whole replay, start from a snapshot after retention
    // dropped the start, and catch-up from a peer, each in random batches and with repeats.
    void everyPathEndsInTheSameState()
    {
        CPPUNIT_ASSERT(rc::check("all readers agree", [] {
            FakeLog log;
            log.tellsFirst = *rc::gen::arbitrary<bool>();
            std::vector<IntrusivePtr<const ConfigurationState>> states{
                makeRef<const ConfigurationState>()
            };
            Reader whole;
            Reader viaPeer;
            const int n = *rc::gen::inRange(1, 40);
            for (int i = 0; i < n; ++i) {
                appendRandom(log, states);
                if (*rc::gen::arbitrary<bool>())
                    RC_ASSERT(pollOnce(log, whole.follower).ok());
                const Revision revision = viaPeer.follower.state()->revision();
                const auto next = viaPeer.follower.nextOffset();
                const auto from = *rc::gen::inRange<std::uint64_t>(0, next + 1);
                const auto max = *rc::gen::inRange<std::size_t>(1, 5);
                const LogBatch batch = whole.follower.recordsFrom(from, max);
                RC_ASSERT(viaPeer.follower.offer(batch).ok());
                RC_ASSERT(viaPeer.follower.nextOffset() >= next);
                RC_ASSERT(viaPeer.follower.state()->revision() >= revision);
            }
            RC_ASSERT(pollOnce(log, whole.follower).ok());
            RC_ASSERT(*whole.follower.state() == *states.back());
            while (viaPeer.follower.nextOffset() < whole.follower.nextOffset()) {
                const auto next = viaPeer.follower.nextOffset();
                RC_ASSERT(viaPeer.follower.offer(whole.follower.recordsFrom(next, 3)).ok());
                RC_ASSERT(viaPeer.follower.nextOffset() > next);
            }
            RC_ASSERT(*viaPeer.follower.state() == *states.back());

            const auto dropped = *rc::gen::inRange<std::uint64_t>(1, log.next + 1);
            SnapshotFinder finder;
            log.dropBefore(dropped);
            finder.inspect({ log.first, log.first, log.next, log.records });
            Reader late;
            const auto poll = pollOnce(log, late.follower);
            if (dropped > 1 && !finder.newest(dropped)) {
                RC_ASSERT(!poll.ok() && late.follower.nextOffset() == 1);
                return;
            }
            RC_ASSERT(poll.ok());
            RC_ASSERT(*late.follower.state() == *states.back());
        }));
    }

    void retentionWithoutSnapshotIsAnError()
    {
        FakeLog log;
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(log.append(kConfigurationStream, "damaged").ok());
        log.dropBefore(3);
        Reader reader;
        CPPUNIT_ASSERT(absl::IsDataLoss(pollOnce(log, reader.follower).status()));
        log.readStatus = absl::UnavailableError("down");
        CPPUNIT_ASSERT(absl::IsUnavailable(pollOnce(log, reader.follower).status()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), reader.follower.nextOffset());
    }

    void badBatchesChangeNothing()
    {
        Reader reader;
        CPPUNIT_ASSERT(reader.follower.offer({ 0, 0, 2, { { 0, "x" }, { 1, "y" } } }).ok());
        const auto before = reader.follower.state();
        const auto gap = reader.follower.offer({ 0, 3, 4, { { 3, "x" } } });
        CPPUNIT_ASSERT(absl::IsOutOfRange(gap));
        const auto order = reader.follower.offer({ 0, 2, 4, { { 3, "x" }, { 2, "x" } } });
        CPPUNIT_ASSERT(absl::IsInvalidArgument(order));
        CPPUNIT_ASSERT(absl::IsInvalidArgument(
                reader.follower.offer({ 0, 2, 4, { { UINT64_MAX, "x" } } })));
        CPPUNIT_ASSERT(reader.follower.offer({ 0, 0, 2, { { 0, "z" }, { 1, "z" } } }).ok());
        CPPUNIT_ASSERT(before == reader.follower.state());
    }

    // Guards against a damaged snapshot in the log that a peer's reader would start from.
    void forgedPeerSnapshotInLogIsHarmless()
    {
        FakeLog log;
        SnapshotBody forged;
        forged.nextOffset = 2;
        forged.estate = sampleEstate();
        const std::string record = *encodeChange(makeChange("f", 0, forged));
        Reader whole;
        CPPUNIT_ASSERT(whole.follower.offerLog({ 0, 0, 2, { { 0, "x" }, { 1, record } } }).ok());
        Reader peer;
        CPPUNIT_ASSERT(peer.follower.offer({ 0, 0, 1, { { 0, "x" } } }).ok());
        CPPUNIT_ASSERT(peer.follower.offer(whole.follower.recordsFrom(1, 5)).ok());
        CPPUNIT_ASSERT(*whole.follower.state() == *peer.follower.state());
        CPPUNIT_ASSERT(whole.follower.state()->estate()->data().targets.empty());
    }

    void keptRecordsAreBounded()
    {
        Topic<ConfigurationState> topic;
        ConfigurationFollower follower(topic, 1000);
        LogBatch batch{ 0, 0, 10, {} };
        for (std::uint64_t i = 0; i < 10; ++i)
            batch.records.push_back({ i, std::string(300, 'x') });
        CPPUNIT_ASSERT(follower.offer(batch).ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), follower.recordsFrom(7, 10).records.size());
        Reader peer;
        const LogBatch snapshot = follower.recordsFrom(6, 10);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), snapshot.from);
        CPPUNIT_ASSERT(peer.follower.offer(snapshot).ok());
        CPPUNIT_ASSERT(*peer.follower.state() == *follower.state());
    }

    // Guards against a lagging peer whose snapshot undoes a drain.
    void olderPeerSnapshotNeverReverts()
    {
        Topic<ConfigurationState> topic;
        ConfigurationFollower lagging(topic, 0);
        Reader reader;
        LogBatch batch{ 1, 1, 3, {} };
        const Change sheet = makeChange("s", 0, SheetBody{ sampleEstate(), {} });
        batch.records.push_back({ 1, *encodeChange(sheet) });
        CPPUNIT_ASSERT(lagging.offer(batch).ok());
        batch.records.push_back(
                { 2, *encodeChange(makeChange("d", 1, DrainDomainBody{ "sof-a" })) });
        CPPUNIT_ASSERT(reader.follower.offer(batch).ok());
        const auto before = reader.follower.state();
        const LogBatch older = lagging.recordsFrom(1, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), older.records.size());
        CPPUNIT_ASSERT(reader.follower.offer(older).ok());
        CPPUNIT_ASSERT(before == reader.follower.state());
    }

    // Guards against two links that apply the same records at the same time, or out of order.
    void concurrentOffersNeverRevert()
    {
        constexpr std::uint64_t kRecords = 200;
        LogBatch all{ 1, 1, kRecords + 1, {} };
        for (std::uint64_t i = 1; i <= kRecords; ++i) {
            const Change change =
                    makeChange("j" + std::to_string(i), 0, JoinBody{ sampleMember("e-1", i) });
            all.records.push_back({ i, *encodeChange(change) });
        }
        Reader reader;
        std::atomic<bool> reverted = false;
        reader.topic.subscribe([&, last = Revision(0)](const auto &state) mutable {
            reverted = reverted || state->revision() < last;
            last = state->revision();
        });
        std::vector<std::thread> threads;
        for (std::uint64_t step = 1; step <= 4; ++step) {
            threads.emplace_back([&, step] {
                while (reader.follower.nextOffset() <= kRecords) {
                    const auto from = reader.follower.nextOffset() - 1;
                    const auto to = std::min(from + step, kRecords);
                    LogBatch batch{ 1, from + 1, to + 1, {} };
                    for (auto i = from; i < to; ++i)
                        batch.records.push_back(all.records[i]);
                    reverted = reverted || !reader.follower.offer(batch).ok();
                }
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        Reader single;
        CPPUNIT_ASSERT(single.follower.offer(all).ok());
        CPPUNIT_ASSERT(!reverted);
        CPPUNIT_ASSERT(*single.follower.state() == *reader.follower.state());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowerTest);

} // namespace lycheebay
