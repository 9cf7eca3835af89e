#include "gateway/regionspillover.h"
#include "base/manualclock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

using namespace std::chrono_literals;

class RegionSpilloverTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegionSpilloverTest);
    CPPUNIT_TEST(callersGoToTheHomeRegionWithoutAShortage);
    CPPUNIT_TEST(shareGrowsInStepsWhileTheShortageLasts);
    CPPUNIT_TEST(shareShrinksSlowlyAfterAShortage);
    CPPUNIT_TEST(shareShrinksAtOnceIfThisRegionHasNoRoom);
    CPPUNIT_TEST(fewForwardedRequestsAreNoShortage);
    CPPUNIT_TEST(newReaderGoesOnWithTheShares);
    CPPUNIT_TEST_SUITE_END();

    ManualClock m_clock;
    RegionSpillover m_spillover;

    void report(int placed, int received, int sent = 0)
    {
        OverflowCounts counts;
        counts.placed = placed;
        counts.regions = { { "home", received, sent } };
        m_spillover.add(counts, m_clock.now());
    }

    /// Reports the same counts twice a second for \a span.
    void reportFor(Duration span, int placed, int received, int sent = 0)
    {
        for (Duration passed{}; passed < span; passed += 500ms) {
            report(placed, received, sent);
            m_clock.advance(500ms);
            m_spillover.update(m_clock.now());
        }
    }

    double share() const
    {
        const LocalShares shares = m_spillover.shares();
        return shares.shares.empty() ? 0 : shares.shares.front().share;
    }

public:
    void callersGoToTheHomeRegionWithoutAShortage()
    {
        reportFor(5s, 100, 0);
        CPPUNIT_ASSERT(m_spillover.shares().shares.empty());
    }

    void shareGrowsInStepsWhileTheShortageLasts()
    {
        reportFor(500ms, 20, 10);
        CPPUNIT_ASSERT(share() > 0 && share() < 0.5);
        reportFor(5s, 20, 10);
        CPPUNIT_ASSERT_EQUAL(1.0, share());
    }

    // Callers keep their answers for seconds; a share that follows each moment without a shortage
    // would send them back and forth.
    void shareShrinksSlowlyAfterAShortage()
    {
        reportFor(5s, 20, 10);
        reportFor(3s, 20, 0);
        CPPUNIT_ASSERT_EQUAL(1.0, share());
        reportFor(4s, 20, 0);
        CPPUNIT_ASSERT(share() > 0.4 && share() < 1);
        reportFor(15s, 20, 0);
        CPPUNIT_ASSERT_EQUAL(0.0, share());
    }

    void shareShrinksAtOnceIfThisRegionHasNoRoom()
    {
        reportFor(5s, 20, 10);
        reportFor(2s, 20, 0, 10);
        CPPUNIT_ASSERT_EQUAL(0.0, share());
    }

    void fewForwardedRequestsAreNoShortage()
    {
        reportFor(5s, 100, 4);
        CPPUNIT_ASSERT_EQUAL(0.0, share());
    }

    void newReaderGoesOnWithTheShares()
    {
        reportFor(5s, 20, 10);
        RegionSpillover next;
        next.restore(m_spillover.shares(), m_clock.now());
        CPPUNIT_ASSERT(next.shares() == m_spillover.shares());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionSpilloverTest);

} // namespace lycheebay
