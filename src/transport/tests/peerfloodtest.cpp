#include "base/seededrandom.h"
#include "membership/tests/testseed.h"
#include "transport/tests/floodsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

class PeerFloodTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerFloodTest);
    CPPUNIT_TEST(reachesAllWithBoundedMessages);
    CPPUNIT_TEST(asksOnePeerAtATime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against records that miss a member or are sent more than once per link and direction.
    void reachesAllWithBoundedMessages()
    {
        SeededRandom random(testSeed("reachesAllWithBoundedMessages"));
        for (const std::size_t members : { 18, 200, 2000 }) {
            for (const std::size_t regions : { 2, 11 }) {
                const FloodResult result = FloodSimulation(members, regions).run(random);
                CPPUNIT_ASSERT_EQUAL(members, result.reached);
                CPPUNIT_ASSERT(result.messages <= 2 * result.links);
                CPPUNIT_ASSERT(result.betweenRegions <= 2 * 2 * regions * (regions - 1));
            }
        }
    }

    // Guards against a new instance that receives the whole history from every neighbour.
    void asksOnePeerAtATime()
    {
        using namespace std::chrono_literals;
        ConfigurationRelay relay;
        TimePoint now;
        for (LinkId link = 1; link <= 8; ++link)
            relay.advancePeerOffset(link, 10000);
        CPPUNIT_ASSERT(relay.takeDueRequest(0, now) == LinkId{ 1 });
        CPPUNIT_ASSERT(!relay.takeDueRequest(0, now + 1900ms));
        CPPUNIT_ASSERT(relay.takeDueRequest(0, now + 2100ms) == LinkId{ 2 });
        CPPUNIT_ASSERT(relay.takeDueRequest(256, now + 2200ms));
        CPPUNIT_ASSERT(!relay.takeDueRequest(10000, now + 2300ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerFloodTest);

} // namespace lycheebay
