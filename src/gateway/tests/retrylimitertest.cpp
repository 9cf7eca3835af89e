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
    CPPUNIT_TEST(instancesTogetherStayWithinTheBudget);
    CPPUNIT_TEST(budgetReturnsWithTime);
    CPPUNIT_TEST(leavingInstanceAcceptsOnlyWhatCanEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a budget that each instance takes for its own. Every window of ten seconds is
    // checked, while each request asks for an extra attempt.
    void instancesTogetherStayWithinTheBudget()
    {
        const RetryBudget budget{ 0.2, 64, 10s };
        constexpr std::size_t kInstances = 19;
        std::vector<RetryLimiter> windows(kInstances);
        for (RetryLimiter &it : windows)
            it.setBudget(budget, kInstances);
        ManualClock clock;
        SeededRandom random(11);
        std::vector<std::pair<TimePoint, bool>> events; // true for an extra attempt
        for (int i = 0; i < 6000; ++i) {
            clock.advance(Duration(random.below(20'000'000)));
            RetryLimiter &window = windows[random.below(kInstances)];
            window.countRequest(clock.now());
            events.emplace_back(clock.now(), false);
            if (window.tryAcquire(clock.now()))
                events.emplace_back(clock.now(), true);
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

    void budgetReturnsWithTime()
    {
        RetryLimiter window;
        window.setBudget({ 0.2, 8, 10s }, 2);
        ManualClock clock;
        CPPUNIT_ASSERT(window.tryAcquire(clock.now()));
        CPPUNIT_ASSERT(!window.tryAcquire(clock.now()));
        clock.advance(11s);
        CPPUNIT_ASSERT(window.tryAcquire(clock.now()));
    }

    // Guards against a request that is cut by the end of the grace period.
    void leavingInstanceAcceptsOnlyWhatCanEnd()
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
