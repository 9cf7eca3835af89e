#include "configuration/configurationlease.h"

#include "base/manualclock.h"
#include "base/seededrandom.h"
#include "membership/tests/testseed.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

namespace {

using namespace std::chrono_literals;

constexpr LeaseSettings kStoreRegion{ .inStoreRegion = true };
constexpr LeaseSettings kOtherRegion{ .inStoreRegion = false };

} // namespace

class ConfigurationLeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationLeaseTest);
    CPPUNIT_TEST(holdsForTheDurationAfterTheStartOfARead);
    CPPUNIT_TEST(isInvalidUntilAttestedOffsetIsReached);
    CPPUNIT_TEST(survivesAStoreOutageOnlyInTheStoreRegion);
    CPPUNIT_TEST(expiresInTheStoreRegionWithoutAPeer);
    CPPUNIT_TEST(survivesAStoreOutageAloneInTheRoster);
    CPPUNIT_TEST(isExpiredAfterAPauseUntilANewAttestation);
    CPPUNIT_TEST(servesUnattestedOnlyWhenConfigured);
    CPPUNIT_TEST(echoedAttestationsExpire);
    CPPUNIT_TEST_SUITE_END();

public:
    void holdsForTheDurationAfterTheStartOfARead()
    {
        ConfigurationLease lease(kOtherRegion, m_clock.now());
        CPPUNIT_ASSERT(!lease.isValid(m_clock.now()));
        const TimePoint start = m_clock.now();
        advance(300ms);
        lease.readSucceeded(start, 0, m_clock.now());
        CPPUNIT_ASSERT(lease.isValid(start + 2499ms));
        CPPUNIT_ASSERT(!lease.isValid(start + 2500ms));
        CPPUNIT_ASSERT(lease.attestationAge(m_clock.now()) == Duration(300ms));
    }

    // Guards against serving with a configuration that lacks records of the attesting instance.
    void isInvalidUntilAttestedOffsetIsReached()
    {
        ConfigurationLease lease(kOtherRegion, m_clock.now());
        lease.setOwnOffset(7, m_clock.now());
        lease.attestationRelayed(m_clock.now(), 8, m_clock.now());
        CPPUNIT_ASSERT(!lease.isValid(m_clock.now()));
        lease.setOwnOffset(8, m_clock.now());
        CPPUNIT_ASSERT(lease.isValid(m_clock.now()));
    }

    void survivesAStoreOutageOnlyInTheStoreRegion()
    {
        for (const LeaseSettings &settings : { kStoreRegion, kOtherRegion }) {
            ConfigurationLease lease(settings, m_clock.now());
            lease.readSucceeded(m_clock.now(), 0, m_clock.now());
            for (int i = 0; i < 100; ++i) {
                advance(100ms);
                lease.readFailed(m_clock.now() - 90ms, m_clock.now());
                lease.regionPeerHeard(m_clock.now() - 10ms, 0, m_clock.now());
            }
            CPPUNIT_ASSERT_EQUAL(settings.inStoreRegion, lease.isValid(m_clock.now()));
        }
    }

    void expiresInTheStoreRegionWithoutAPeer()
    {
        ConfigurationLease lease(kStoreRegion, m_clock.now());
        const TimePoint heard = m_clock.now();
        lease.regionPeerHeard(heard, 0, heard);
        lease.readFailed(heard, heard);
        CPPUNIT_ASSERT(lease.isValid(heard + 2499ms));
        for (int i = 0; i < 30; ++i) {
            advance(100ms);
            lease.readFailed(m_clock.now(), m_clock.now());
        }
        CPPUNIT_ASSERT(!lease.isValid(m_clock.now()));
    }

    void survivesAStoreOutageAloneInTheRoster()
    {
        ConfigurationLease lease(kStoreRegion, m_clock.now());
        lease.setAloneInRoster(true, m_clock.now());
        lease.tick(m_clock.now());
        CPPUNIT_ASSERT(!lease.isValid(m_clock.now()));
        lease.readFailed(m_clock.now(), m_clock.now());
        CPPUNIT_ASSERT(lease.isValid(m_clock.now()));
    }

    // Guards against a lease that is renewed after a process pause by outdated responses and
    // frames, which were in socket buffers during the pause and are handled right after it.
    void isExpiredAfterAPauseUntilANewAttestation()
    {
        ConfigurationLease lease(kStoreRegion, m_clock.now());
        lease.readSucceeded(m_clock.now(), 0, m_clock.now());
        lease.readFailed(m_clock.now(), m_clock.now());
        CPPUNIT_ASSERT(lease.isValid(m_clock.now()));
        const TimePoint readStart = m_clock.now();
        m_clock.advance(20s);
        const TimePoint resumed = m_clock.now();
        CPPUNIT_ASSERT(!lease.isValid(resumed));
        lease.attestationRelayed(resumed - 1ms, 0, resumed);
        lease.regionPeerHeard(resumed - 1ms, 0, resumed);
        lease.readFailed(readStart, resumed);
        lease.readSucceeded(readStart, 0, resumed);
        CPPUNIT_ASSERT(!lease.isValid(resumed));
        advance(100ms);
        lease.attestationRelayed(resumed + 50ms, 0, m_clock.now());
        CPPUNIT_ASSERT(lease.isValid(m_clock.now()));
    }

    void servesUnattestedOnlyWhenConfigured()
    {
        const LeaseSettings settings{ .whenUnattested = WhenUnattested::Serve };
        const ConfigurationLease lease(settings, m_clock.now());
        CPPUNIT_ASSERT(lease.isValid(m_clock.now()));
        CPPUNIT_ASSERT(!lease.isAttested(m_clock.now()));
    }

    // Guards against two partitioned instances that renew each other's lease by relaying the same
    // attestation back and forth, whatever the delays.
    void echoedAttestationsExpire()
    {
        SeededRandom random(testSeed("echoedAttestationsExpire"));
        for (int run = 0; run < 200; ++run) {
            ConfigurationLease first(kOtherRegion, m_clock.now());
            ConfigurationLease second(kOtherRegion, m_clock.now());
            const TimePoint attested = m_clock.now();
            first.readSucceeded(attested, 0, attested);
            while (m_clock.now() < attested + 2500ms) {
                relayAttestation(first, second, random);
                relayAttestation(second, first, random);
            }
            CPPUNIT_ASSERT(!first.isValid(attested + 2500ms));
            CPPUNIT_ASSERT(!second.isValid(attested + 2500ms));
        }
    }

private:
    void advance(Duration duration) { m_clock.advance(duration); }

    void relayAttestation(const ConfigurationLease &from, ConfigurationLease &to,
                          SeededRandom &random)
    {
        const TimePoint sent = m_clock.now();
        const auto age = from.attestationAge(sent);
        advance(std::chrono::milliseconds(random.below(300)));
        if (age)
            to.attestationRelayed(sent - *age, 0, m_clock.now());
    }

    ManualClock m_clock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationLeaseTest);

} // namespace lycheebay
