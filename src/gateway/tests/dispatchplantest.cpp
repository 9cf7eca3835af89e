#include "gateway/dispatchplan.h"
#include "base/seededrandom.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace lycheebay {

class DispatchPlanTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchPlanTest);
    CPPUNIT_TEST(lostInstanceMovesOnlyItsOwnGroups);
    CPPUNIT_TEST(rankingFollowsInstanceWeights);
    CPPUNIT_TEST(targetsAreDividedAmongDispatchers);
    CPPUNIT_TEST(servicesThatShareAHostAreOneGroup);
    CPPUNIT_TEST(addressesAreSpreadByCapacity);
    CPPUNIT_TEST(drainedDomainIsExcluded);
    CPPUNIT_TEST(homeRegionsOfAnyRouteApplyToTheHost);
    CPPUNIT_TEST(conflictingHomeRegionsFallBackToTheCallersRegion);
    CPPUNIT_TEST(unknownHostGetsInstancesOfItsDomain);
    CPPUNIT_TEST_SUITE_END();

    GatewayConfiguration m_configuration;
    TargetList m_targets;
    DrainedDomains m_drained;
    InstanceList m_instances;
    const DomainRegions m_regions{ { "a1", "a" }, { "a2", "a" }, { "b1", "b" } };
    SeededRandom m_random{ 9 };

    static Route route(const std::string &service, ExecutionSemantics executionSemantics,
                       std::vector<std::string> homes = {})
    {
        Route it;
        it.name = service;
        it.pathPrefix = "/" + service + "/";
        it.services = { { service, 1 } };
        it.executionSemantics = executionSemantics;
        it.homeRegions = std::move(homes);
        return it;
    }

    void addTargets(const std::string &domain, int count, const std::string &service = "s")
    {
        for (int i = 0; i < count; ++i) {
            TargetRecord it;
            it.id = domain + service + std::to_string(i);
            it.service = service;
            it.failureDomain = domain;
            it.slots = 3;
            m_targets.targets.push_back(it);
        }
    }

    DispatchInputs inputs() const
    {
        return { m_configuration, m_targets, m_drained, m_instances, m_regions };
    }

    std::map<std::string, int> answers(const AddressQuery &query, int n = 2000)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < n; ++i) {
            const auto candidates = addressCandidates(inputs(), query);
            for (const Address &it : sampleAddresses(candidates, m_random))
                ++counts[it.host.substr(0, 2)];
        }
        return counts;
    }

public:
    void setUp() override
    {
        m_configuration = GatewayConfiguration();
        m_targets = TargetList();
        m_drained = DrainedDomains();
        m_instances = InstanceList();
        for (const char *domain : { "a1", "a2", "b1" }) {
            for (int i = 0; i < 4; ++i) {
                const std::string id = std::string(domain) + "-" + std::to_string(i);
                m_instances.instances.push_back({ id, { id, 80 }, domain });
            }
        }
        m_configuration.hosts = { { "h", { route("s", ExecutionSemantics::Idempotent) } } };
    }

    void lostInstanceMovesOnlyItsOwnGroups()
    {
        std::map<std::string, std::string> before;
        const auto owner = [&](const std::string &group) {
            return rankedInstances(m_instances, group, "a1", 1).front().id;
        };
        for (int i = 0; i < 200; ++i)
            before["g" + std::to_string(i)] = owner("g" + std::to_string(i));
        const std::string lost = m_instances.instances.front().id;
        m_instances.instances.erase(m_instances.instances.begin());
        for (const auto &[group, id] : before) {
            if (id != lost)
                CPPUNIT_ASSERT_EQUAL(id, owner(group));
        }
    }

    // Fails if the weights of instances are ignored.
    void rankingFollowsInstanceWeights()
    {
        m_instances.instances[0].weight = 6;
        int large = 0;
        for (int i = 0; i < 2000; ++i) {
            const auto first = rankedInstances(m_instances, "g" + std::to_string(i), "a1", 1);
            large += first.front().id == m_instances.instances[0].id ? 1 : 0;
        }
        CPPUNIT_ASSERT(large > 1200 && large < 1470); // six ninths of 2000
    }

    // A failure domain with more slots than one dispatcher serves: each target has one owner, and
    // adding targets changes no other target's owner.
    void targetsAreDividedAmongDispatchers()
    {
        addTargets("a1", 60);
        const auto dispatchers = dispatchersOf(inputs(), "s", "a1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, dispatchers.size());
        std::map<std::string, int> owned;
        std::map<std::string, std::string> owners;
        for (const TargetRecord &it : m_targets.targets) {
            owners[it.id] = ownerOf(dispatchers, it)->id;
            ++owned[owners[it.id]];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, owned.size());
        addTargets("a1", 2, "t");
        for (const TargetRecord &it : m_targets.targets) {
            if (owners.contains(it.id))
                CPPUNIT_ASSERT_EQUAL(owners[it.id],
                                     ownerOf(dispatchersOf(inputs(), "s", "a1"), it)->id);
        }
        CPPUNIT_ASSERT(!ownerOf({}, m_targets.targets.front()));
    }

    // Otherwise two instances would dispatch to the same targets without counting each other's
    // requests.
    void servicesThatShareAHostAreOneGroup()
    {
        m_configuration.hosts = { { "h",
                                    { route("s", ExecutionSemantics::Idempotent),
                                      route("t", ExecutionSemantics::Idempotent) } },
                                  { "i",
                                    { route("t", ExecutionSemantics::Idempotent),
                                      route("u", ExecutionSemantics::Idempotent) } },
                                  { "j", { route("v", ExecutionSemantics::Idempotent) } } };
        const std::string group = dispatchGroup(m_configuration, "s");
        CPPUNIT_ASSERT_EQUAL(group, dispatchGroup(m_configuration, "t"));
        CPPUNIT_ASSERT_EQUAL(group, dispatchGroup(m_configuration, "u"));
        CPPUNIT_ASSERT(group != dispatchGroup(m_configuration, "v"));
    }

    void addressesAreSpreadByCapacity()
    {
        addTargets("a1", 4);
        addTargets("a2", 2);
        addTargets("b1", 1);
        const auto counts = answers({ "h", "a1", "a" });
        CPPUNIT_ASSERT_EQUAL(2000, counts.at("a1"));
        CPPUNIT_ASSERT(counts.at("a2") > 850 && counts.at("a2") < 1150);
        CPPUNIT_ASSERT(counts.at("b1") > 400 && counts.at("b1") < 600);
    }

    void drainedDomainIsExcluded()
    {
        addTargets("a1", 2);
        addTargets("a2", 2);
        m_drained.domains = { "a1" };
        const auto counts = answers({ "h", "a1", "a" });
        CPPUNIT_ASSERT(!counts.contains("a1"));
        CPPUNIT_ASSERT_EQUAL(2000, counts.at("a2"));
    }

    // Fails if a host that also has routes without home regions sends callers to other regions.
    void homeRegionsOfAnyRouteApplyToTheHost()
    {
        addTargets("a1", 1);
        addTargets("b1", 5);
        m_configuration.hosts = { { "h",
                                    { route("s", ExecutionSemantics::Idempotent),
                                      route("s", ExecutionSemantics::Idempotent, { "b" }),
                                      route("s", ExecutionSemantics::AtMostOnce, { "a" }) } } };
        const auto counts = answers({ "h", "b1", "b" });
        CPPUNIT_ASSERT(!counts.contains("b1"));
        CPPUNIT_ASSERT_EQUAL(2000, counts.at("a1"));
    }

    void conflictingHomeRegionsFallBackToTheCallersRegion()
    {
        addTargets("a1", 1);
        addTargets("b1", 1);
        m_configuration.hosts = { { "h",
                                    { route("s", ExecutionSemantics::Idempotent, { "a" }),
                                      route("s", ExecutionSemantics::Idempotent, { "b" }) } } };
        CPPUNIT_ASSERT(!answers({ "h", "b1", "b" }).contains("a1"));
        CPPUNIT_ASSERT(!answers({ "h", "a1", "a" }).contains("b1"));
    }

    void unknownHostGetsInstancesOfItsDomain()
    {
        const auto counts = answers({ "unknown", "b1", "b" }, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, counts.size());
        CPPUNIT_ASSERT(counts.contains("b1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchPlanTest);

} // namespace lycheebay
