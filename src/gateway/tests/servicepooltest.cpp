#include "gateway/servicepool.h"
#include "base/manualclock.h"
#include "base/seededrandom.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

namespace lycheebay {

using namespace std::chrono_literals;

class ServicePoolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServicePoolTest);
    CPPUNIT_TEST(asksForLoadAndTakesTheUnslowedTarget);
    CPPUNIT_TEST(asksOnlySomeTargetsOfOthers);
    CPPUNIT_TEST(waitsForAFasterTargetAndThenTakesAny);
    CPPUNIT_TEST(leavesTheLastSlotFree);
    CPPUNIT_TEST(leavingDrainedAndTriedTargetsGetNothing);
    CPPUNIT_TEST(homeRegionsBind);
    CPPUNIT_TEST(farTargetsServeOnlyWhenNearOnesCannot);
    CPPUNIT_TEST(coldTargetsArePaced);
    CPPUNIT_TEST(othersLeaveColdTargetsAlone);
    CPPUNIT_TEST(overloadIsRefusedAtOnceWithATimeToReturn);
    CPPUNIT_TEST(noTargetIsRefusedAtOnce);
    CPPUNIT_TEST(lateRunThatNobodyWaitsForIsNotStarted);
    CPPUNIT_TEST(cancelledTicketFreesNothing);
    CPPUNIT_TEST(lateTicketLeavesTheSlotToOneInTime);
    CPPUNIT_TEST(lateTicketIsRefusedWhileOthersInTimeWait);
    CPPUNIT_TEST(slowSpellsCostFewerCallersThanRandomPlacement);
    CPPUNIT_TEST(overloadDoesNotMakeEveryoneLate);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration kLatency = 600ms;

    ManualClock m_clock;
    SeededRandom m_random{ 3 };
    std::unique_ptr<ServicePool> m_pool;
    std::vector<PoolTarget> m_targets;
    TicketId m_lastTicket = 0;

    PoolTarget target(const std::string &id, Proximity proximity = Proximity::Owned) const
    {
        TargetRecord record;
        record.id = id;
        record.service = "s";
        record.address = { "127.0.0.1", 80 };
        record.failureDomain = "d";
        record.slots = 3;
        return { record, proximity == Proximity::OtherRegion ? "far" : "near", proximity, false };
    }

    std::string key(std::size_t i) const { return targetKey(m_targets[i].record); }

    void use(std::vector<PoolTarget> targets)
    {
        m_targets = std::move(targets);
        m_pool->setTargets(m_targets);
    }

    /// Gives every target a fresh reading; \a slowdowns are in the order of the targets.
    void readLoads(const std::vector<double> &slowdowns)
    {
        for (std::size_t i = 0; i < m_targets.size(); ++i)
            m_pool->noteLoad(key(i), { 0, 0, 3, i < slowdowns.size() ? slowdowns[i] : 1 },
                             m_clock.now());
    }

    Ticket ticket(Duration deadline = 2s)
    {
        Ticket it;
        it.id = ++m_lastTicket;
        it.arrival = m_clock.now();
        it.objective = m_clock.now() + kLatency;
        it.refuseAt = it.objective;
        it.giveUp = m_clock.now() + deadline;
        return it;
    }

    PoolDecisions submit(const Ticket &it)
    {
        m_pool->enqueue(it);
        return m_pool->decide(m_clock.now());
    }

    PoolDecisions submit() { return submit(ticket()); }

    static std::vector<std::string> placed(const PoolDecisions &decisions)
    {
        std::vector<std::string> ids;
        for (const Placement &it : decisions.placements)
            ids.push_back(it.target.id);
        return ids;
    }

public:
    void setUp() override
    {
        m_pool = std::make_unique<ServicePool>(ServicePoolSettings(), kLatency, m_random);
        m_pool->setColdPolicy(3, true);
        m_lastTicket = 0;
    }

    void asksForLoadAndTakesTheUnslowedTarget()
    {
        use({ target("a"), target("b") });
        const PoolDecisions first = submit();
        CPPUNIT_ASSERT(first.placements.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, first.probes.size());
        readLoads({ 4, 1 });
        CPPUNIT_ASSERT(placed(m_pool->decide(m_clock.now())) == std::vector<std::string>{ "b" });
    }

    // Guards against one request that makes an instance connect to all targets of others.
    void asksOnlySomeTargetsOfOthers()
    {
        for (const auto &[proximity, most] :
             { std::pair(Proximity::Owned, 30UL), std::pair(Proximity::SameDomain, 2UL) }) {
            std::vector<PoolTarget> targets;
            for (int i = 0; i < 30; ++i)
                targets.push_back(target("t" + std::to_string(i), proximity));
            setUp();
            use(targets);
            readLoads({});
            m_clock.advance(100ms); // the readings are stale
            CPPUNIT_ASSERT_EQUAL(most, submit().probes.size());
            // Those who come meanwhile share the answers.
            CPPUNIT_ASSERT(submit().probes.empty());
            m_clock.advance(20ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, m_pool->decide(m_clock.now()).placements.size());
        }
    }

    // Guards against a request that is sent at once to a target too slow for its objective, and
    // against one that waits for better until nothing serves it.
    void waitsForAFasterTargetAndThenTakesAny()
    {
        use({ target("a") });
        readLoads({ 4 });
        CPPUNIT_ASSERT(submit().placements.empty());
        CPPUNIT_ASSERT(m_pool->queueLength() == 1);
        m_clock.advance(kLatency - m_pool->usualWorkTime() + 1ms);
        readLoads({ 4 });
        CPPUNIT_ASSERT(placed(m_pool->decide(m_clock.now())) == std::vector<std::string>{ "a" });
    }

    void leavesTheLastSlotFree()
    {
        use({ target("a") });
        readLoads({ 1 });
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, submit().placements.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, submit().placements.size());
        CPPUNIT_ASSERT(submit().placements.empty());
        m_pool->finish(key(0), AttemptVerdict::Served, 100ms, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_pool->decide(m_clock.now()).placements.size());
    }

    void leavingDrainedAndTriedTargetsGetNothing()
    {
        use({ target("leaving"), target("drained"), target("tried"), target("usable") });
        m_targets[0].record.leaving = true;
        m_targets[1].drained = true;
        use(m_targets);
        readLoads({});
        for (int i = 0; i < 2; ++i) {
            Ticket it = ticket();
            it.tried = { key(2) };
            CPPUNIT_ASSERT(placed(submit(it)) == std::vector<std::string>{ "usable" });
        }
    }

    void homeRegionsBind()
    {
        use({ target("near"), target("far", Proximity::OtherRegion) });
        readLoads({});
        Ticket it = ticket();
        it.homeRegions = { "far" };
        CPPUNIT_ASSERT(placed(submit(it)) == std::vector<std::string>{ "far" });
        it = ticket();
        it.homeRegions = { "elsewhere" };
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, submit(it).refusals.size());
    }

    void farTargetsServeOnlyWhenNearOnesCannot()
    {
        use({ target("near"), target("far", Proximity::SameRegion) });
        readLoads({});
        CPPUNIT_ASSERT(placed(submit()) == std::vector<std::string>{ "near" });
        m_targets[0].drained = true;
        use(m_targets);
        CPPUNIT_ASSERT(placed(submit()) == std::vector<std::string>{ "far" });
    }

    // Guards against more requests a second than a cold target bears.
    void coldTargetsArePaced()
    {
        use({ target("a") });
        std::vector<TimePoint> starts;
        for (int i = 0; i < 300; ++i) {
            m_pool->noteLoad(key(0), { 0, 0, 3, 1 }, m_clock.now());
            m_pool->noteCold(key(0), 3s, m_clock.now());
            for (const Placement &it : submit().placements) {
                (void)it;
                starts.push_back(m_clock.now());
                m_pool->finish(key(0), AttemptVerdict::Served, 5ms, m_clock.now());
            }
            m_clock.advance(10ms);
        }
        CPPUNIT_ASSERT(starts.size() > 5);
        for (std::size_t i = 0; i + 4 < starts.size(); ++i)
            CPPUNIT_ASSERT(starts[i + 4] - starts[i] > 1s);
    }

    // Guards against requests of several instances adding up at a cold target.
    void othersLeaveColdTargetsAlone()
    {
        use({ target("a") });
        m_pool->setColdPolicy(3, false);
        readLoads({ 1 });
        m_pool->noteCold(key(0), 3s, m_clock.now());
        const PoolDecisions decisions = submit();
        CPPUNIT_ASSERT(decisions.placements.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, decisions.refusals.size());
        m_pool->noteCold(key(0), Duration::zero(), m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, submit().placements.size());
    }

    // Load: far more requests at once than the slots can serve within the objective.
    void overloadIsRefusedAtOnceWithATimeToReturn()
    {
        use({ target("a"), target("b") });
        readLoads({ 1, 1 });
        int placements = 0;
        std::vector<Duration> returns;
        for (int i = 0; i < 30; ++i) {
            const PoolDecisions decisions = submit();
            placements += static_cast<int>(decisions.placements.size());
            for (const Refusal &it : decisions.refusals) {
                CPPUNIT_ASSERT(it.reason == RefusalReason::QueueFull);
                returns.push_back(it.retryAfter);
            }
        }
        CPPUNIT_ASSERT_EQUAL(4, placements);
        CPPUNIT_ASSERT(returns.size() > 15);
        CPPUNIT_ASSERT(std::all_of(returns.begin(), returns.end(),
                                   [](Duration it) { return it >= 50ms && it <= 1500ms; }));
        CPPUNIT_ASSERT(*std::max_element(returns.begin(), returns.end())
                       > *std::min_element(returns.begin(), returns.end()));
    }

    // Guards against a request that is held although nothing can serve it.
    void noTargetIsRefusedAtOnce()
    {
        use({});
        const PoolDecisions decisions = submit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, decisions.refusals.size());
        CPPUNIT_ASSERT(decisions.refusals[0].reason == RefusalReason::NoTarget);
    }

    // Guards against runs that are cut at the caller's deadline after they filled a slot.
    void lateRunThatNobodyWaitsForIsNotStarted()
    {
        use({ target("a") });
        readLoads({ 10 });
        CPPUNIT_ASSERT(submit(ticket(700ms)).placements.empty());
        m_clock.advance(kLatency - m_pool->usualWorkTime() + 1ms);
        readLoads({ 10 });
        CPPUNIT_ASSERT(m_pool->decide(m_clock.now()).placements.empty());
        m_clock.advance(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_pool->decide(m_clock.now()).refusals.size());
    }

    void cancelledTicketFreesNothing()
    {
        use({ target("a") });
        readLoads({ 4 });
        const Ticket it = ticket();
        submit(it);
        m_pool->cancel(it.id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, m_pool->queueLength());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, m_pool->inFlight());
    }

    // Guards against callers who come back too late taking the slots of those who can be in time.
    void lateTicketLeavesTheSlotToOneInTime()
    {
        use({ target("a") });
        readLoads({ 1 });
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, submit().placements.size());
        Ticket late = ticket();
        late.objective = m_clock.now() - 100ms;
        late.refuseAt = m_clock.now() + 500ms;
        const Ticket inTime = ticket();
        m_pool->enqueue(late);
        m_pool->enqueue(inTime);
        const PoolDecisions decisions = m_pool->decide(m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, decisions.placements.size());
        CPPUNIT_ASSERT_EQUAL(inTime.id, decisions.placements[0].ticket);
        m_pool->finish(key(0), AttemptVerdict::Served, 100ms, m_clock.now());
        const PoolDecisions later = m_pool->decide(m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, later.placements.size());
        CPPUNIT_ASSERT_EQUAL(late.id, later.placements[0].ticket);
    }

    // Guards against a late request that is held although others go before it until it is refused.
    void lateTicketIsRefusedWhileOthersInTimeWait()
    {
        use({ target("a") });
        readLoads({ 4 });
        Ticket late = ticket();
        late.objective = m_clock.now() - 100ms;
        late.refuseAt = m_clock.now() + 500ms;
        const Ticket inTime = ticket();
        m_pool->enqueue(late);
        m_pool->enqueue(inTime);
        const PoolDecisions decisions = m_pool->decide(m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, decisions.refusals.size());
        CPPUNIT_ASSERT_EQUAL(late.id, decisions.refusals[0].ticket);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_pool->queueLength());
    }

    /// Plays \a rate requests a second for 60 s at four targets, each slowed four times for a
    /// quarter of the time in spells of 300 ms. Work takes 220 ms. Returns the share of callers
    /// served within 600 ms. With \a chooses false, requests go to a random target at once.
    double playSlowSpells(double rate, bool chooses, std::uint64_t seed)
    {
        setUp();
        use({ target("a"), target("b"), target("c"), target("d") });
        SeededRandom random(seed);
        constexpr Duration kStep = 5ms;
        struct Run
        {
            std::size_t target;
            TimePoint arrival, start, end;
        };
        std::vector<Run> runs;
        std::map<TicketId, TimePoint> arrivals;
        std::vector<double> slowdowns(4, 1);
        int asked = 0;
        int inTime = 0;
        for (int step = 0; step < 12'000; ++step) {
            m_clock.advance(kStep);
            const TimePoint now = m_clock.now();
            if (step % 60 == 0) {
                for (double &it : slowdowns)
                    it = random.uniform() < 0.25 ? 4 : 1;
            }
            std::erase_if(runs, [&](const Run &it) {
                if (it.end > now)
                    return false;
                inTime += it.end - it.arrival <= 600ms ? 1 : 0;
                m_pool->finish(key(it.target), AttemptVerdict::Served, it.end - it.start, now);
                return true;
            });
            if (random.uniform() < rate * 0.005) {
                ++asked;
                const Ticket it = ticket(1200ms);
                arrivals[it.id] = now;
                if (chooses) {
                    m_pool->enqueue(it);
                } else {
                    const std::size_t i = random.below(4);
                    const auto sameTarget = std::count_if(
                            runs.begin(), runs.end(), [&](const Run &r) { return r.target == i; });
                    const double knee = sameTarget >= 2 ? 1.7 : 1;
                    const Duration work = std::chrono::duration_cast<Duration>(
                            220ms * slowdowns[i] * knee * (1 + sameTarget / 3));
                    runs.push_back({ i, now, now, now + work });
                }
            }
            PoolDecisions decisions = m_pool->decide(now);
            if (!decisions.probes.empty()) {
                readLoads(slowdowns);
                const PoolDecisions more = m_pool->decide(now);
                decisions.placements.insert(decisions.placements.end(), more.placements.begin(),
                                            more.placements.end());
            }
            for (const Placement &it : decisions.placements) {
                const std::size_t i = it.target.id[0] - 'a';
                const auto work = std::chrono::duration_cast<Duration>(220ms * slowdowns[i]);
                runs.push_back({ i, arrivals[it.ticket], now, now + work });
            }
        }
        return static_cast<double>(inTime) / asked;
    }

    // Load: 10 requests a second at four targets with two useful slots each, about two thirds of
    // what they serve. Guards against a placement that does not look at the targets' speed; the
    // goal is half of the late answers of a random choice.
    void slowSpellsCostFewerCallersThanRandomPlacement()
    {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            const double chosen = playSlowSpells(10, true, seed);
            const double random = playSlowSpells(10, false, seed);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(chosen) + " " + std::to_string(random),
                                   1 - chosen <= (1 - random) / 2);
        }
    }

    // Load: 150% of what four targets with two useful slots each serve while they are slowed
    // to 1.75 times the usual work time on average (20.8 requests a second). The best that can be
    // is two thirds in time; the goal is three quarters of that.
    void overloadDoesNotMakeEveryoneLate()
    {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            const double inTime = playSlowSpells(31, true, seed);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(inTime), inTime >= 0.5);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServicePoolTest);

} // namespace lycheebay
