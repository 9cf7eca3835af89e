#include "gateway/targethealth.h"
#include "base/manualclock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

using namespace std::chrono_literals;

/// Not named TargetHealthTest, which is the test of the routing module.
class GatewayTargetHealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayTargetHealthTest);
    CPPUNIT_TEST(ejectionTimeGrowsWithRepeatedFailures);
    CPPUNIT_TEST(oneTrialRequestAfterAnEjection);
    CPPUNIT_TEST(lowFailureRateDoesNotEject);
    CPPUNIT_TEST(timeoutEjectsAtOnce);
    CPPUNIT_TEST(unresponsiveTargetStaysEjectedUntilItAnswers);
    CPPUNIT_TEST_SUITE_END();

    ManualClock m_clock;
    TargetHealth m_health;

    void record(AttemptResult result) { m_health.recordAttempt(result, m_clock.now()); }
    bool isEjected() const { return m_health.isEjected(m_clock.now()); }

    Duration ejectionTime()
    {
        Duration n{};
        for (; isEjected(); n += 100ms)
            m_clock.advance(100ms);
        return n;
    }

public:
    void setUp() override { m_health = TargetHealth(); }

    void ejectionTimeGrowsWithRepeatedFailures()
    {
        for (int i = 0; i < 4; ++i)
            record(AttemptResult::Failed);
        CPPUNIT_ASSERT(isEjected());
        const Duration first = ejectionTime();
        m_health.recordTrialStarted(m_clock.now());
        record(AttemptResult::Failed);
        const Duration second = ejectionTime();
        CPPUNIT_ASSERT(second > first);
    }

    // Fails if a target gets all its load back as soon as its ejection ends.
    void oneTrialRequestAfterAnEjection()
    {
        for (int i = 0; i < 4; ++i)
            record(AttemptResult::Failed);
        ejectionTime();
        m_health.recordTrialStarted(m_clock.now());
        CPPUNIT_ASSERT(isEjected());
        record(AttemptResult::Served);
        CPPUNIT_ASSERT(!isEjected());
    }

    void lowFailureRateDoesNotEject()
    {
        for (int i = 0; i < 200; ++i) {
            record(i % 20 == 0 ? AttemptResult::Failed : AttemptResult::Served);
            CPPUNIT_ASSERT(!isEjected());
        }
    }

    void timeoutEjectsAtOnce()
    {
        record(AttemptResult::TimedOut);
        CPPUNIT_ASSERT(isEjected());
    }

    void unresponsiveTargetStaysEjectedUntilItAnswers()
    {
        m_health.recordProbe(false, m_clock.now());
        CPPUNIT_ASSERT(!isEjected());
        m_health.recordProbe(false, m_clock.now());
        m_clock.advance(60s);
        CPPUNIT_ASSERT(isEjected());
        m_health.recordProbe(true, m_clock.now());
        CPPUNIT_ASSERT(!isEjected());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTargetHealthTest);

} // namespace lycheebay
