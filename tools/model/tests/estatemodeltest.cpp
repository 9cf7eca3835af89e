#include "estatemodel.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace lycheebay::model {

/// Plays load to the gateway's decisions and checks what callers get, against the decision before
/// and against one queue that knows every target.
class EstateModelTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EstateModelTest);
    CPPUNIT_TEST(sameSeedGivesTheSameResult);
    CPPUNIT_TEST(burstOnTheHomeRegion);
    CPPUNIT_TEST(drainOfAHomeDomain);
    CPPUNIT_TEST(homesInTheSmallestOfThreeRegions);
    CPPUNIT_TEST(targetsWithManySlots);
    CPPUNIT_TEST(slowLinkBetweenRegions);
    CPPUNIT_TEST(calmLoadStaysInTheHomeRegion);
    CPPUNIT_TEST(hostWithoutHomesIsNotAffected);
    CPPUNIT_TEST(overloadOfAllRegionsIsNotMadeWorse);
    CPPUNIT_TEST(forwardingDoesNotOverfillTargets);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int kSeeds = 3;

    static Policy policy(const std::string &name)
    {
        const auto all = comparedPolicies();
        const auto it = std::find_if(all.begin(), all.end(),
                                     [&](const Policy &entry) { return entry.name == name; });
        CPPUNIT_ASSERT(it != all.end());
        return *it;
    }

    static ClassResult playSeeds(const Scenario &scenario, const std::string &policyName)
    {
        ClassResult sum;
        for (int seed = 1; seed <= kSeeds; ++seed)
            sum += play(scenario, policy(policyName), static_cast<std::uint64_t>(seed)).total();
        CPPUNIT_ASSERT(sum.asked > 1000);
        return sum;
    }

    static double inTime(const ClassResult &it)
    {
        return static_cast<double>(it.inTime) / it.asked;
    }
    static double refused(const ClassResult &it)
    {
        return static_cast<double>(it.refused) / it.asked;
    }

    /// Fails unless callers get at least half of what one queue would give them beyond the decision
    /// before, and at most half of its refusals.
    static void assertGain(const Scenario &scenario)
    {
        const ClassResult before = playSeeds(scenario, "home-region");
        const ClassResult now = playSeeds(scenario, "adaptive");
        const ClassResult bound = playSeeds(scenario, "one-queue");
        CPPUNIT_ASSERT_MESSAGE(scenario.name, inTime(now) >= (inTime(before) + inTime(bound)) / 2);
        CPPUNIT_ASSERT_MESSAGE(scenario.name, refused(now) <= refused(before) / 2);
    }

public:
    void sameSeedGivesTheSameResult()
    {
        const Scenario scenario = *findScenario("burst");
        const ClassResult a = play(scenario, policy("adaptive"), 4).total();
        const ClassResult b = play(scenario, policy("adaptive"), 4).total();
        CPPUNIT_ASSERT_EQUAL(a.inTime, b.inTime);
        CPPUNIT_ASSERT_EQUAL(a.refused, b.refused);
    }

    // Guards against requests that are refused while the targets of the other region stand idle.
    void burstOnTheHomeRegion() { assertGain(*findScenario("burst")); }

    void drainOfAHomeDomain() { assertGain(*findScenario("drained-home")); }

    void homesInTheSmallestOfThreeRegions() { assertGain(*findScenario("three-regions")); }

    void targetsWithManySlots()
    {
        const Scenario scenario = *findScenario("many-slots");
        CPPUNIT_ASSERT(inTime(playSeeds(scenario, "adaptive"))
                       >= inTime(playSeeds(scenario, "home-region")));
    }

    void slowLinkBetweenRegions()
    {
        const Scenario scenario = *findScenario("slow-link");
        CPPUNIT_ASSERT(inTime(playSeeds(scenario, "adaptive"))
                       >= inTime(playSeeds(scenario, "home-region")));
    }

    // Guards against bytes on the link between regions, which is paid by volume, without a
    // shortage.
    void calmLoadStaysInTheHomeRegion()
    {
        const Scenario scenario = *findScenario("calm");
        int crossed = 0;
        int asked = 0;
        for (int seed = 1; seed <= kSeeds; ++seed) {
            const RunResult result =
                    play(scenario, policy("adaptive"), static_cast<std::uint64_t>(seed));
            crossed += result.crossed;
            asked += result.total().asked;
        }
        CPPUNIT_ASSERT(crossed <= asked / 100);
        CPPUNIT_ASSERT(inTime(playSeeds(scenario, "adaptive"))
                       >= inTime(playSeeds(scenario, "home-region")) - 0.01);
    }

    void hostWithoutHomesIsNotAffected()
    {
        const Scenario scenario = *findScenario("no-homes");
        CPPUNIT_ASSERT(inTime(playSeeds(scenario, "adaptive"))
                       >= inTime(playSeeds(scenario, "home-region")) - 0.01);
    }

    // Guards against instances that pass requests around although no target anywhere has room.
    void overloadOfAllRegionsIsNotMadeWorse()
    {
        Scenario scenario = *findScenario("no-homes");
        for (Domain &it : scenario.domains)
            it.requestsPerSecond *= 2.5;
        const ClassResult before = playSeeds(scenario, "home-region");
        CPPUNIT_ASSERT(refused(before) > 0.1);
        CPPUNIT_ASSERT(inTime(playSeeds(scenario, "adaptive")) >= inTime(before) - 0.02);
    }

    // Guards against two dispatchers that use the same slots without counting each other's
    // requests.
    void forwardingDoesNotOverfillTargets()
    {
        const Scenario scenario = *findScenario("drained-home");
        CPPUNIT_ASSERT(play(scenario, policy("adaptive"), 1).mostAtATarget <= scenario.slots);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EstateModelTest);

} // namespace lycheebay::model
