#include "dispatcherfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace lycheebay {

class CellDispatcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CellDispatcherTest);
    CPPUNIT_TEST(strategyNamesRoundTrip);
    CPPUNIT_TEST(queuesBeyondTheSlotsAndServesHighPriorityFirst);
    CPPUNIT_TEST(oneQueuedRequestWaitsAtAWarmTarget);
    CPPUNIT_TEST(shedBeyondTheSlotsIsNotRepeatedAtOnce);
    CPPUNIT_TEST(coldTargetAndFallbackGetNothingBeyondTheLimit);
    CPPUNIT_TEST(lowPriorityRequestsDoNotStarve);
    CPPUNIT_TEST(shedsRequestsThatWouldMissTheirDeadline);
    CPPUNIT_TEST(shedsQueuedRequestAtItsDeadline);
    CPPUNIT_TEST(fullQueueShedsLowPriorityForHighPriority);
    CPPUNIT_TEST(retriesAvoidTriedTargetsWithinTheBudget);
    CPPUNIT_TEST(hedgesOnlyIdempotentRequestsOnAnotherTarget);
    CPPUNIT_TEST(fallbackSendsOnlyToWarmTargetsOneAtATime);
    CPPUNIT_TEST(newOwnerWaitsBeforeItUsesColdTargets);
    CPPUNIT_TEST(baselinesNeverQueue);
    CPPUNIT_TEST(removedTargetCompletesItsAttempts);
    CPPUNIT_TEST(finishRemovesRequestFromTheQueue);
    CPPUNIT_TEST_SUITE_END();

public:
    void strategyNamesRoundTrip()
    {
        for (const char *name :
             { "slot-queue", "round-robin", "random", "least-outstanding", "two-choices" })
            CPPUNIT_ASSERT_EQUAL(std::string(name),
                                 std::string(strategyName(*parseStrategy(name))));
        CPPUNIT_ASSERT(!parseStrategy("fastest"));
    }

    // Guards against lookups that get a slot before queued orders.
    void queuesBeyondTheSlotsAndServesHighPriorityFirst()
    {
        DispatcherFixture cell(1, 1);
        const auto running = std::get<Assignment>(cell.submit());
        CPPUNIT_ASSERT(std::holds_alternative<Queued>(cell.submit(1)));
        CPPUNIT_ASSERT(std::holds_alternative<Queued>(cell.submit(2)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, cell.dispatcher.queuedCount());
        const auto next = cell.complete(running, AttemptOutcome::Succeeded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, next.size());
        CPPUNIT_ASSERT_EQUAL(RequestId{ 3 }, std::get<Assignment>(next[0]).request);
    }

    // Guards against slots that are idle for a round trip between two requests, and against more
    // than one request that waits at a target while another target becomes free.
    void oneQueuedRequestWaitsAtAWarmTarget()
    {
        DispatcherFixture cell(2, 2);
        cell.warmUp();
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(std::holds_alternative<Assignment>(cell.submit()));
        for (int i = 0; i < 6; ++i)
            CPPUNIT_ASSERT(std::holds_alternative<Queued>(cell.submit()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, cell.dispatcher.tick(cell.now).size());
        CPPUNIT_ASSERT_EQUAL(3, cell.status("t0").outstanding);
        CPPUNIT_ASSERT_EQUAL(3, cell.status("t1").outstanding);
        CPPUNIT_ASSERT(cell.dispatcher.tick(cell.now).empty());
    }

    // Guards against repeated sheds: a target that sheds requests beyond its slots must not get
    // another one at once.
    void shedBeyondTheSlotsIsNotRepeatedAtOnce()
    {
        DispatcherFixture cell(1, 2);
        cell.warmUp();
        for (int i = 0; i < 6; ++i)
            cell.submit();
        const auto beyond = cell.dispatcher.tick(cell.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, beyond.size());
        const auto sent = std::get<Assignment>(beyond[0]);
        CPPUNIT_ASSERT(cell.complete(sent, AttemptOutcome::Shed, 1ms).empty());
        CPPUNIT_ASSERT(cell.dispatcher.tick(cell.now + 40ms).empty());
        CPPUNIT_ASSERT_EQUAL(2, cell.status("t0").outstanding);
        CPPUNIT_ASSERT(!cell.status("t0").ejected);
    }

    // Guards against requests beyond the limit at a target in cold start, or from a fallback entry.
    void coldTargetAndFallbackGetNothingBeyondTheLimit()
    {
        DispatcherFixture cold(1, 1);
        cold.submit();
        cold.submit();
        CPPUNIT_ASSERT(cold.dispatcher.tick(cold.now).empty());
        CPPUNIT_ASSERT_EQUAL(1, cold.status("t0").outstanding);
        DispatcherFixture fallback(1, 1);
        fallback.warmUp();
        fallback.dispatcher.setRole(DispatchRole::Fallback, fallback.now, fallback.now);
        fallback.submit();
        fallback.submit();
        CPPUNIT_ASSERT(fallback.dispatcher.tick(fallback.now).empty());
        CPPUNIT_ASSERT_EQUAL(1, fallback.status("t0").outstanding);
    }

    // Guards against starvation of lookups by a continuous stream of orders.
    void lowPriorityRequestsDoNotStarve()
    {
        DispatcherFixture cell(1, 1);
        auto running = std::get<Assignment>(cell.submit(2));
        cell.submit(1);
        const RequestId lowPriority = cell.lastRequest;
        for (int starts = 1; starts <= 5; ++starts) {
            cell.submit(2);
            cell.submit(2);
            cell.now += 10ms;
            running = std::get<Assignment>(cell.complete(running, AttemptOutcome::Succeeded).at(0));
            if (running.request == lowPriority)
                return;
        }
        CPPUNIT_FAIL("the low-priority request did not start within five starts");
    }

    // Guards against queueing requests that cannot start before their deadline.
    void shedsRequestsThatWouldMissTheirDeadline()
    {
        DispatcherFixture cell(1, 1);
        cell.warmUp();
        cell.submit();
        int queued = 0;
        Decision decision = cell.submit(1, 100ms);
        for (; std::holds_alternative<Queued>(decision) && queued < 50; ++queued)
            decision = cell.submit(1, 100ms);
        CPPUNIT_ASSERT(std::get<Shed>(decision).reason == ShedReason::Overloaded);
        CPPUNIT_ASSERT(std::get<Shed>(decision).retryAfter > 0ms);
        CPPUNIT_ASSERT(queued > 3 && queued < 10);
    }

    void shedsQueuedRequestAtItsDeadline()
    {
        DispatcherFixture cell(1, 1);
        cell.submit();
        cell.submit(1, 60ms);
        CPPUNIT_ASSERT(cell.dispatcher.tick(cell.now + 1ms).empty());
        const auto resolved = cell.dispatcher.tick(cell.now + 60ms);
        CPPUNIT_ASSERT(std::get<Shed>(resolved.at(0)).reason == ShedReason::DeadlineExceeded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, cell.dispatcher.queuedCount());
    }

    // Guards against shedding orders while lookups are queued.
    void fullQueueShedsLowPriorityForHighPriority()
    {
        DispatcherFixture cell(1, 1, { .maxQueued = 2 });
        cell.submit();
        cell.submit(1);
        cell.submit(1);
        const RequestId newest = cell.lastRequest;
        CPPUNIT_ASSERT(std::holds_alternative<Shed>(cell.submit(1)));
        CPPUNIT_ASSERT(std::holds_alternative<Queued>(cell.submit(2)));
        const auto resolved = cell.dispatcher.tick(cell.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, resolved.size());
        CPPUNIT_ASSERT_EQUAL(newest, std::get<Shed>(resolved[0]).request);
    }

    // Guards against retry storms: retries that multiply the load of a failing cell.
    void retriesAvoidTriedTargetsWithinTheBudget()
    {
        DispatcherFixture cell(20);
        int retries = 0;
        for (int i = 0; i < 100; ++i) {
            const Decision first = cell.submit();
            if (!std::holds_alternative<Assignment>(first))
                continue;
            cell.now += 10ms;
            cell.complete(std::get<Assignment>(first), AttemptOutcome::Failed);
            const Decision again = cell.dispatcher.retry(cell.lastRequest, cell.now);
            if (const auto *second = std::get_if<Assignment>(&again)) {
                ++retries;
                CPPUNIT_ASSERT(second->targetId != std::get<Assignment>(first).targetId);
                cell.complete(*second, AttemptOutcome::Succeeded);
            }
            cell.dispatcher.finish(cell.lastRequest);
        }
        CPPUNIT_ASSERT(retries >= 10);
        CPPUNIT_ASSERT(retries <= 13);
    }

    void hedgesOnlyIdempotentRequestsOnAnotherTarget()
    {
        DispatcherFixture cell(4);
        cell.warmUp();
        CPPUNIT_ASSERT(cell.dispatcher.hedgeDelay() >= 9ms);
        CPPUNIT_ASSERT(cell.dispatcher.hedgeDelay() <= 12ms);
        const auto order = std::get<Assignment>(cell.submit(2, 10s, false));
        CPPUNIT_ASSERT(!cell.dispatcher.hedge(order.request, cell.now));
        const auto lookup = std::get<Assignment>(cell.submit());
        const auto second = cell.dispatcher.hedge(lookup.request, cell.now + 20ms);
        CPPUNIT_ASSERT(second && second->targetId != lookup.targetId);
    }

    // Guards against a fallback entry that sends requests or probes to targets in cold start.
    void fallbackSendsOnlyToWarmTargetsOneAtATime()
    {
        DispatcherFixture cell(3);
        cell.dispatcher.setRole(DispatchRole::Fallback, cell.now, cell.now);
        CPPUNIT_ASSERT(std::get<Shed>(cell.submit()).reason == ShedReason::NoTarget);
        cell.dispatcher.adoptVerdict({ .targetId = "t0" }, cell.now);
        cell.dispatcher.adoptVerdict({ .targetId = "t1", .cold = true }, cell.now);
        CPPUNIT_ASSERT_EQUAL(std::string("t0"), std::get<Assignment>(cell.submit()).targetId);
        CPPUNIT_ASSERT(!std::holds_alternative<Assignment>(cell.submit()));
        CPPUNIT_ASSERT(cell.dispatcher.dueProbes(cell.now + 1h).empty());
    }

    // Guards against a cold target that gets its limit from both the old and the new owner during
    // a handover.
    void newOwnerWaitsBeforeItUsesColdTargets()
    {
        DispatcherFixture cell(2);
        cell.dispatcher.setRole(DispatchRole::Owner, cell.now + 3s, cell.now);
        CPPUNIT_ASSERT(std::get<Shed>(cell.submit(1, 2s)).reason == ShedReason::NoTarget);
        CPPUNIT_ASSERT(std::holds_alternative<Queued>(cell.submit()));
        CPPUNIT_ASSERT(cell.dispatcher.tick(cell.now + 2900ms).empty());
        const auto resolved = cell.dispatcher.tick(cell.now + 3s);
        CPPUNIT_ASSERT(std::holds_alternative<Assignment>(resolved.at(0)));
    }

    // Guards against a baseline strategy of the benchmarks that uses the queue of slot-queue.
    void baselinesNeverQueue()
    {
        for (const StrategyKind kind :
             { StrategyKind::RoundRobin, StrategyKind::Random, StrategyKind::LeastOutstanding,
               StrategyKind::TwoChoices }) {
            DispatcherSettings settings;
            settings.strategy = kind;
            DispatcherFixture cell(3, 2, settings);
            for (int i = 0; i < 3; ++i)
                CPPUNIT_ASSERT(std::holds_alternative<Assignment>(cell.submit()));
            CPPUNIT_ASSERT(std::holds_alternative<Shed>(cell.submit()));
        }
        DispatcherSettings settings;
        settings.strategy = StrategyKind::RoundRobin;
        DispatcherFixture cell(3, 2, settings);
        cell.warmUp(6);
        for (int i = 0; i < 30; ++i)
            CPPUNIT_ASSERT(std::holds_alternative<Assignment>(cell.submit()));
        CPPUNIT_ASSERT_EQUAL(10, cell.status("t1").outstanding);
    }

    void removedTargetCompletesItsAttempts()
    {
        DispatcherFixture cell(1);
        const auto sent = std::get<Assignment>(cell.submit());
        cell.dispatcher.updateTargets({}, cell.now);
        CPPUNIT_ASSERT(std::get<Shed>(cell.submit()).reason == ShedReason::NoTarget);
        cell.dispatcher.updateTargets(cell.specs, cell.now);
        CPPUNIT_ASSERT_EQUAL(1, cell.status("t0").outstanding);
        cell.dispatcher.updateTargets({}, cell.now);
        CPPUNIT_ASSERT(cell.complete(sent, AttemptOutcome::Succeeded).empty());
        CPPUNIT_ASSERT(cell.complete(sent, AttemptOutcome::Succeeded).empty());
    }

    void finishRemovesRequestFromTheQueue()
    {
        DispatcherFixture cell(1, 1);
        const auto sent = std::get<Assignment>(cell.submit());
        cell.submit();
        cell.dispatcher.finish(cell.lastRequest);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, cell.dispatcher.queuedCount());
        CPPUNIT_ASSERT(cell.complete(sent, AttemptOutcome::Succeeded).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellDispatcherTest);

} // namespace lycheebay
