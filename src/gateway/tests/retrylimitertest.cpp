#include "gateway/retrylimiter.h"
#include "base/manualclock.h"
#include "base/seededrandom.h"
#include "gateway/shutdownplan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace lycheebay {

using namespace std::chrono_literals;

class RetryLimiterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryLimiterTest);
    CPPUNIT_TEST(allInstancesStayWithinTheSharedBudget);
    CPPUNIT_TEST(budgetIsAvailableAgainAfterTheWindow);
    CPPUNIT_TEST(reservationCountsUntilItIsCancelled);
    CPPUNIT_TEST(shutdownAcceptsOnlyRequestsThatCanComplete);
    CPPUNIT_TEST_SUITE_END();

public:
    // Fails if each instance uses the whole budget. Every request asks for an extra attempt;
    // windows of ten seconds that start at every 50th event are checked.
    void allInstancesStayWithinTheSharedBudget()
    {
        const RetryBudget budget{ 0.2, 64, 10s };
        constexpr std::size_t kInstances = 19;
        ManualClock clock;
        std::vector<RetryLimiter> limiters(kInstances, RetryLimiter(clock.now()));
        for (RetryLimiter &it : limiters)
            it.setBudget(budget, kInstances, clock.now());
        SeededRandom random(11);
        std::vector<std::pair<TimePoint, bool>> events; // true for an extra attempt
        for (int i = 0; i < 6000; ++i) {
            clock.advance(Duration(random.below(20'000'000)));
            RetryLimiter &limiter = limiters[random.below(kInstances)];
            limiter.countRequest(clock.now());
            events.emplace_back(clock.now(), false);
            if (limiter.tryReserve(clock.now())) {
                limiter.commit(clock.now());
                events.emplace_back(clock.now(), true);
            }
        }
        for (std::size_t first = 0; first < events.size(); first += 50) {
            int requests = 0;
            int extra = 0;
            for (std::size_t i = first;
                 i < events.size() && events[i].first - events[first].first < 10s; ++i)
                ++(events[i].second ? extra : requests);
            CPPUNIT_ASSERT(extra <= 0.2 * requests + 64);
        }
    }

    void budgetIsAvailableAgainAfterTheWindow()
    {
        ManualClock clock;
        RetryLimiter limiter(clock.now());
        limiter.setBudget({ 0.2, 8, 10s }, 2, clock.now());
        CPPUNIT_ASSERT(!limiter.tryReserve(clock.now()));
        clock.advance(11s);
        CPPUNIT_ASSERT(limiter.tryReserve(clock.now()));
        limiter.commit(clock.now());
        CPPUNIT_ASSERT(!limiter.tryReserve(clock.now()));
        clock.advance(11s);
        CPPUNIT_ASSERT(limiter.tryReserve(clock.now()));
    }

    void reservationCountsUntilItIsCancelled()
    {
        ManualClock clock;
        RetryLimiter limiter(clock.now());
        limiter.setBudget({ 0.2, 8, 10s }, 2, clock.now());
        clock.advance(11s);
        CPPUNIT_ASSERT(limiter.tryReserve(clock.now()));
        clock.advance(11s);
        CPPUNIT_ASSERT(!limiter.tryReserve(clock.now()));
        limiter.cancel();
        CPPUNIT_ASSERT(limiter.tryReserve(clock.now()));
    }

    // Fails if a request is accepted that the end of the grace period may interrupt.
    void shutdownAcceptsOnlyRequestsThatCanComplete()
    {
        ManualClock clock;
        const ShutdownPlan plan(clock.now(), 6s);
        CPPUNIT_ASSERT(plan.mayAccept(clock.now(), 3s));
        clock.advance(3s);
        CPPUNIT_ASSERT(!plan.mayAccept(clock.now(), 3s));
        CPPUNIT_ASSERT(plan.mayAccept(clock.now(), 1200ms));
        CPPUNIT_ASSERT(!plan.shouldExit(clock.now(), 1, 1));
        CPPUNIT_ASSERT(plan.shouldExit(clock.now(), 0, 0));
        clock.advance(2800ms);
        CPPUNIT_ASSERT(plan.shouldExit(clock.now(), 1, 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryLimiterTest);

} // namespace lycheebay
