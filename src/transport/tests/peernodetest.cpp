#include "membership/tests/testseed.h"
#include "transport/tests/simulatednetwork.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstring>

namespace lycheebay {

namespace {

using namespace std::chrono_literals;

constexpr int kPerRegion = 9;
constexpr LeaseSettings kInStoreRegion{ .inStoreRegion = true };

std::string idOf(const std::string &region, int index)
{
    return region + "-" + std::to_string(index);
}

bool isInRegion(const Address &address, const std::string &region)
{
    return address.host.starts_with(region);
}

bool sameRegion(const Address &a, const Address &b)
{
    return isInRegion(a, "sof") == isInRegion(b, "sof");
}

std::vector<RosterMember> rosterOf(SimulatedNetwork &network)
{
    std::vector<RosterMember> roster;
    for (auto &[id, node] : network.nodes()) {
        RosterMember member;
        member.instanceId = id;
        member.incarnation = 0;
        member.region = id.substr(0, 3);
        member.peer = SimulatedNetwork::addressOf(id);
        member.joinedAt = roster.size() + 1;
        roster.push_back(member);
    }
    return roster;
}

} // namespace

class PeerNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerNodeTest);
    CPPUNIT_TEST(everyoneLearnsOfEveryone);
    CPPUNIT_TEST(recordsReachAllWithFewCopies);
    CPPUNIT_TEST(newcomerGetsASnapshotAndVerdictsFromPeers);
    CPPUNIT_TEST(regionPartitionEndsTheLeaseBeyondTheStore);
    CPPUNIT_TEST(failureDomainPartitionHeals);
    CPPUNIT_TEST(frozenInstanceIsRemovedAndReturns);
    CPPUNIT_TEST(replacedIncarnationIsShutOut);
    CPPUNIT_TEST(homeRegionsBoundWhatIsSent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_network = std::make_unique<SimulatedNetwork>();
        for (int i = 0; i < kPerRegion; ++i) {
            m_network->add(idOf("sof", i), "sof", kInStoreRegion);
            m_network->add(idOf("plv", i), "plv");
        }
        for (auto &[id, node] : m_network->nodes())
            node->peer->setSeeds({ SimulatedNetwork::addressOf("sof-0") });
        m_network->run(10s);
    }
    void tearDown() override { m_network.reset(); }

    void everyoneLearnsOfEveryone()
    {
        CPPUNIT_ASSERT(everyoneSeesAll(MemberState::Alive));
        for (auto &[id, node] : m_network->nodes()) {
            const auto peers = node->peer->peers();
            const auto links = std::count_if(peers.begin(), peers.end(),
                                             [](const PeerStatus &peer) { return peer.linked; });
            CPPUNIT_ASSERT(links >= 4 && links <= 8 + 4 + 1);
        }
    }

    void recordsReachAllWithFewCopies()
    {
        m_network->node("sof-3").follower.append("change");
        m_network->run(1s);
        for (auto &[id, node] : m_network->nodes()) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, node->follower.nextOffset());
            CPPUNIT_ASSERT(node->follower.offered() <= 8 + 4);
        }
    }

    // Guards against an instance that cannot start while the log is unavailable, and against
    // snapshots that exceed the frame limit.
    void newcomerGetsASnapshotAndVerdictsFromPeers()
    {
        const std::string snapshot = "S" + std::string(3 << 20, 'x');
        m_network->node("sof-3").follower.append(snapshot);
        m_network->node("sof-3").peer->shareVerdicts({ { "target-1", true } });
        m_network->run(2s);
        SimulatedNetwork::Node &fresh = m_network->add("sof-x", "sof", kInStoreRegion);
        fresh.peer->setSeeds({ SimulatedNetwork::addressOf("plv-1") });
        m_network->run(3s);
        CPPUNIT_ASSERT(fresh.follower.recordsFrom(0, 1).records.at(0).data == snapshot);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fresh.verdicts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("target-1"), fresh.verdicts[0].targetId);
    }

    // Guards against accepting work under an outdated configuration that may lack a drain, against
    // nine partitioned instances that renew their leases by echoing attestations to each other, and
    // against the removal of a whole partitioned region.
    void regionPartitionEndsTheLeaseBeyondTheStore()
    {
        setRoster();
        const auto storeDown = [&] { readLog(false); };
        m_network->run(3s, [&] { readLog(true); });
        CPPUNIT_ASSERT_EQUAL(2 * kPerRegion, validLeases(""));
        m_network->run(10s, storeDown);
        CPPUNIT_ASSERT_EQUAL(2 * kPerRegion, validLeases(""));
        m_network->setReachable(sameRegion);
        m_network->run(3s, storeDown);
        CPPUNIT_ASSERT_EQUAL(0, validLeases("plv"));
        m_network->run(60s, storeDown);
        CPPUNIT_ASSERT_EQUAL(0, validLeases("plv"));
        CPPUNIT_ASSERT_EQUAL(kPerRegion, validLeases("sof"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, removals());
        m_network->setReachable({});
        m_network->run(15s, storeDown);
        CPPUNIT_ASSERT_EQUAL(2 * kPerRegion, validLeases(""));
        CPPUNIT_ASSERT(everyoneSeesAll(MemberState::Alive));
    }

    void failureDomainPartitionHeals()
    {
        const auto side = [](const Address &address) { return address.host.back() < '4'; };
        m_network->setReachable([side](const Address &a, const Address &b) {
            return !sameRegion(a, b) || isInRegion(a, "plv") || side(a) == side(b);
        });
        m_network->run(30s);
        m_network->setReachable({});
        m_network->run(40s);
        CPPUNIT_ASSERT(everyoneSeesAll(MemberState::Alive));
    }

    void frozenInstanceIsRemovedAndReturns()
    {
        setRoster();
        const auto eachTick = [&] { readLog(true); };
        m_network->run(3s, eachTick);
        SimulatedNetwork::Node &frozen = m_network->node("sof-4");
        frozen.frozen = true;
        m_network->run(7s, eachTick);
        CPPUNIT_ASSERT(stateOf("plv-2", "sof-4") == MemberState::Dead);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_network->node("sof-0").removed.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, removals());
        CPPUNIT_ASSERT(m_network->node("sof-0").peer->plan()->members().size()
                       == 2 * kPerRegion - 1);
        frozen.frozen = false;
        CPPUNIT_ASSERT(!frozen.lease->isValid(m_network->clock().now()));
        m_network->run(8s, eachTick);
        CPPUNIT_ASSERT(everyoneSeesAll(MemberState::Alive));
        CPPUNIT_ASSERT(frozen.lease->isValid(m_network->clock().now()));
        CPPUNIT_ASSERT(frozen.removed.empty());
    }

    void replacedIncarnationIsShutOut()
    {
        std::vector<RosterMember> roster = setRoster();
        m_network->run(1s);
        const auto it = std::find_if(roster.begin(), roster.end(), [](const RosterMember &member) {
            return member.instanceId == "sof-4";
        });
        it->incarnation = 1000;
        it->joinedAt = 1000;
        for (auto &[id, node] : m_network->nodes()) {
            if (id != "sof-4")
                node->peer->setConfiguration(roster, 0);
        }
        m_network->run(5s);
        CPPUNIT_ASSERT(stateOf("plv-2", "sof-4") != MemberState::Alive);
        for (auto &[id, node] : m_network->nodes())
            CPPUNIT_ASSERT(id == "sof-4" || !statusOf(id, "sof-4").linked);
    }

    // Guards against violations of invariant 4: data about a request stays in its home regions.
    void homeRegionsBoundWhatIsSent()
    {
        constexpr std::uint64_t kFingerprint = 0x123456789abcdef0;
        std::string bytes(sizeof kFingerprint, '\0');
        std::memcpy(bytes.data(), &kFingerprint, sizeof kFingerprint);
        int leaked = 0;
        m_network->onFrame = [&](const Address &from, const Address &to, const std::string &frame) {
            const bool hasRegionalData = frame.find(bytes) != std::string::npos
                                         || frame.find("target-of-sof") != std::string::npos;
            leaked += hasRegionalData && (!isInRegion(from, "sof") || !isInRegion(to, "sof"));
        };
        m_network->node("sof-5").peer->shareCrashSuspects({ { kFingerprint, 1, 60s, { "sof" } } });
        m_network->node("sof-5").peer->shareCrashSuspects({ { 42, 2, 60s, {} } });
        m_network->node("sof-5").peer->shareVerdicts({ { "target-of-sof", true } });
        m_network->run(2s);
        m_network->add("plv-x", "plv").peer->setSeeds({ SimulatedNetwork::addressOf("sof-5") });
        m_network->run(3s);
        CPPUNIT_ASSERT_EQUAL(0, leaked);
        for (auto &[id, node] : m_network->nodes()) {
            const std::size_t expected = id == "sof-5" ? 0 : id.starts_with("sof") ? 2 : 1;
            CPPUNIT_ASSERT_EQUAL(expected, node->suspects.size());
            CPPUNIT_ASSERT_EQUAL(expected == 2, !node->verdicts.empty());
        }
    }

private:
    std::vector<RosterMember> setRoster()
    {
        std::vector<RosterMember> roster = rosterOf(*m_network);
        for (RosterMember &member : roster)
            member.incarnation = incarnationOf(member.instanceId);
        for (auto &[id, node] : m_network->nodes())
            node->peer->setConfiguration(roster, 0);
        return roster;
    }

    std::uint64_t incarnationOf(const std::string &instanceId)
    {
        const std::string observer = instanceId == "sof-0" ? "sof-1" : "sof-0";
        return statusOf(observer, instanceId).incarnation;
    }

    PeerStatus statusOf(const std::string &observer, const std::string &instanceId)
    {
        for (const PeerStatus &peer : m_network->node(observer).peer->peers()) {
            if (peer.instanceId == instanceId)
                return peer;
        }
        return {};
    }

    MemberState stateOf(const std::string &observer, const std::string &instanceId)
    {
        return statusOf(observer, instanceId).state;
    }

    bool everyoneSeesAll(MemberState state)
    {
        for (auto &[id, node] : m_network->nodes()) {
            const auto peers = node->peer->peers();
            const auto seen = std::count_if(peers.begin(), peers.end(),
                                            [&](const auto &peer) { return peer.state == state; });
            if (seen != static_cast<std::ptrdiff_t>(m_network->nodes().size()) - 1)
                return false;
        }
        return true;
    }

    /// Simulates the log reads of the polling instances, which are in the store's region.
    void readLog(bool works)
    {
        const TimePoint now = m_network->clock().now();
        for (const char *id : { "sof-0", "sof-1" }) {
            if (works)
                m_network->node(id).lease->readSucceeded(now, 0, now);
        }
        for (auto &[id, node] : m_network->nodes()) {
            if (!works && !node->frozen)
                node->lease->readFailed(now, now);
        }
    }

    int validLeases(const std::string &region)
    {
        int valid = 0;
        for (auto &[id, node] : m_network->nodes())
            valid += id.starts_with(region) && node->lease->isValid(m_network->clock().now());
        return valid;
    }

    std::size_t removals()
    {
        std::size_t count = 0;
        for (auto &[id, node] : m_network->nodes())
            count += node->removed.size();
        return count;
    }

    std::unique_ptr<SimulatedNetwork> m_network;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerNodeTest);

} // namespace lycheebay
