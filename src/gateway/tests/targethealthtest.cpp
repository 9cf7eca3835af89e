#include "gateway/targethealth.h"
#include "base/manualclock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

using namespace std::chrono_literals;

/// Named apart from the test of the routing module's target health.
class GatewayTargetHealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayTargetHealthTest);
    CPPUNIT_TEST(failuresEjectForAGrowingTime);
    CPPUNIT_TEST(oneTrialAtATimeAfterAnEjection);
    CPPUNIT_TEST(fewFailuresAmongAnswersDoNotEject);
    CPPUNIT_TEST(hangingTargetIsEjectedAtOnce);
    CPPUNIT_TEST(silentTargetStaysOutUntilItAnswers);
    CPPUNIT_TEST_SUITE_END();

    ManualClock m_clock;
    TargetHealth m_health;

    void note(AttemptResult result) { m_health.recordAttempt(result, m_clock.now()); }
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

    void failuresEjectForAGrowingTime()
    {
        for (int i = 0; i < 4; ++i)
            note(AttemptResult::Failed);
        CPPUNIT_ASSERT(isEjected());
        const Duration first = ejectionTime();
        m_health.recordTrialStarted(m_clock.now());
        note(AttemptResult::Failed);
        const Duration second = ejectionTime();
        CPPUNIT_ASSERT(second > first);
    }

    // Guards against full load on a target the moment its ejection ends.
    void oneTrialAtATimeAfterAnEjection()
    {
        for (int i = 0; i < 4; ++i)
            note(AttemptResult::Failed);
        ejectionTime();
        m_health.recordTrialStarted(m_clock.now());
        CPPUNIT_ASSERT(isEjected());
        note(AttemptResult::Served);
        CPPUNIT_ASSERT(!isEjected());
    }

    void fewFailuresAmongAnswersDoNotEject()
    {
        for (int i = 0; i < 200; ++i) {
            note(i % 20 == 0 ? AttemptResult::Failed : AttemptResult::Served);
            CPPUNIT_ASSERT(!isEjected());
        }
    }

    void hangingTargetIsEjectedAtOnce()
    {
        note(AttemptResult::TimedOut);
        CPPUNIT_ASSERT(isEjected());
    }

    void silentTargetStaysOutUntilItAnswers()
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
