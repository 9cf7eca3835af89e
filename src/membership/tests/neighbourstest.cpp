#include "membership/neighbours.h"

#include "base/seededrandom.h"
#include "membership/tests/testseed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

namespace lycheebay {

class NeighboursTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NeighboursTest);
    CPPUNIT_TEST(linksAreSymmetricBoundedAndConnected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against links that leave an instance unreachable for flooded messages, and against
    // more links than the heartbeat traffic budget allows.
    void linksAreSymmetricBoundedAndConnected()
    {
        SeededRandom random(testSeed("linksAreSymmetricBoundedAndConnected"));
        for (int run = 0; run < 60; ++run) {
            std::vector<NeighbourCandidate> candidates;
            const std::uint64_t regions = 1 + random.below(11);
            const std::uint64_t members = 1 + random.below(60);
            for (std::uint64_t i = 0; i < members; ++i) {
                candidates.push_back({ "i" + std::to_string(i) + "-" + std::to_string(run),
                                       "r" + std::to_string(random.below(regions)) });
            }
            check(candidates);
        }
    }

private:
    void check(const std::vector<NeighbourCandidate> &candidates)
    {
        std::map<std::string, Neighbours> selected;
        for (const NeighbourCandidate &candidate : candidates)
            selected[candidate.instanceId] = selectNeighbours(candidate.instanceId, candidates);
        const auto contains = [](const std::vector<std::string> &ids, const std::string &id) {
            return std::find(ids.begin(), ids.end(), id) != ids.end();
        };
        std::map<std::string, std::set<std::string>> links;
        for (const auto &[id, neighbours] : selected) {
            std::set<std::string> inRegion(neighbours.successors.begin(),
                                           neighbours.successors.end());
            inRegion.insert(neighbours.predecessors.begin(), neighbours.predecessors.end());
            CPPUNIT_ASSERT(inRegion.size() <= 8 && !inRegion.contains(id));
            for (const std::string &successor : neighbours.successors)
                CPPUNIT_ASSERT(contains(selected[successor].predecessors, id));
            for (const std::string &relay : neighbours.relays)
                CPPUNIT_ASSERT(contains(selected[relay].relays, id));
            links[id].insert(inRegion.begin(), inRegion.end());
            links[id].insert(neighbours.relays.begin(), neighbours.relays.end());
        }
        CPPUNIT_ASSERT_EQUAL(candidates.size(), reachable(links).size());
    }

    std::set<std::string> reachable(const std::map<std::string, std::set<std::string>> &links)
    {
        std::set<std::string> seen{ links.begin()->first };
        std::vector<std::string> open{ links.begin()->first };
        while (!open.empty()) {
            const std::string id = open.back();
            open.pop_back();
            for (const std::string &other : links.at(id)) {
                if (seen.insert(other).second)
                    open.push_back(other);
            }
        }
        return seen;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NeighboursTest);

} // namespace lycheebay
