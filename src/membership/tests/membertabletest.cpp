#include "membership/membertable.h"

#include "base/manualclock.h"
#include "membership/rosterdecisions.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

namespace {

using namespace std::chrono_literals;

RosterMember member(const std::string &id, std::uint64_t incarnation,
                    const std::string &region = "sof")
{
    RosterMember result;
    result.instanceId = id;
    result.incarnation = incarnation;
    result.region = region;
    result.joinedAt = incarnation;
    return result;
}

MemberUpdate update(const std::string &id, std::uint64_t incarnation, std::uint64_t heartbeat,
                    MemberState state = MemberState::Alive, const std::string &region = "sof")
{
    MemberUpdate result;
    result.identity = member(id, incarnation, region);
    result.startedAtMs = static_cast<std::int64_t>(incarnation) * 1000;
    result.heartbeat = heartbeat;
    result.state = state;
    return result;
}

} // namespace

class MemberTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberTableTest);
    CPPUNIT_TEST(silentNeighbourIsSuspectedThenDead);
    CPPUNIT_TEST(processPauseSuspectsNobody);
    CPPUNIT_TEST(ignoresReplacedIncarnation);
    CPPUNIT_TEST(rosterOrdersIncarnations);
    CPPUNIT_TEST(refutesSuspicionOfItself);
    CPPUNIT_TEST(answersOutdatedSuspicionWithNewerHeartbeat);
    CPPUNIT_TEST(keepsPartitionedRegionInRoster);
    CPPUNIT_TEST(memberCountIsBounded);
    CPPUNIT_TEST(cellPlanHoldsLiveRosterMembersOnly);
    CPPUNIT_TEST(lowestLiveInstanceRemovesDeadMembers);
    CPPUNIT_TEST_SUITE_END();

public:
    void silentNeighbourIsSuspectedThenDead()
    {
        m_table.mergeDirect(update("b", 1, 1), m_clock.now());
        m_table.setMonitored({ "b" }, m_clock.now());
        run(1400ms);
        CPPUNIT_ASSERT(state("b") == MemberState::Alive);
        run(200ms);
        CPPUNIT_ASSERT(state("b") == MemberState::Suspected);
        run(3100ms);
        CPPUNIT_ASSERT(state("b") == MemberState::Dead);
        m_table.mergeDirect(update("b", 1, 2), m_clock.now());
        CPPUNIT_ASSERT(state("b") == MemberState::Alive);
    }

    // Guards against a process that resumes after a pause and suspects all other members, because
    // it received no heartbeats meanwhile.
    void processPauseSuspectsNobody()
    {
        m_table.mergeDirect(update("b", 1, 1), m_clock.now());
        m_table.setMonitored({ "b" }, m_clock.now());
        run(500ms);
        m_clock.advance(60s);
        run(1400ms);
        CPPUNIT_ASSERT(state("b") == MemberState::Alive);
    }

    void ignoresReplacedIncarnation()
    {
        m_table.mergeDirect(update("b", 1, 50), m_clock.now());
        CPPUNIT_ASSERT(m_table.mergeDirect(update("b", 2, 1), m_clock.now()));
        m_table.mergeRelayed(update("b", 2, 1, MemberState::Dead), m_clock.now());
        CPPUNIT_ASSERT(!m_table.mergeDirect(update("b", 1, 99), m_clock.now()));
        m_table.mergeRelayed(update("b", 1, 99), m_clock.now());
        CPPUNIT_ASSERT(state("b") == MemberState::Dead);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, m_table.find("b")->update.identity.incarnation);
    }

    // Guards against an old incarnation that resumes after a pause and replaces a newer one, which
    // is known from the roster only.
    void rosterOrdersIncarnations()
    {
        m_table.setRoster({ member("b", 5) }, m_clock.now());
        m_table.mergeDirect(update("b", 4, 10), m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, m_table.find("b")->update.identity.incarnation);
        m_table.setRoster({ member("b", 6) }, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 6 }, m_table.find("b")->update.identity.incarnation);
        CPPUNIT_ASSERT(!m_table.mergeDirect(update("b", 5, 99), m_clock.now()));
    }

    void refutesSuspicionOfItself()
    {
        m_table.beginHeartbeat();
        m_table.mergeRelayed(update("a", 1, 40, MemberState::Suspected), m_clock.now());
        CPPUNIT_ASSERT(m_table.self().update.heartbeat > 40);
        MemberTable other(member("b", 1), 1, {}, m_clock.now());
        other.mergeRelayed(update("a", 1, 40, MemberState::Suspected), m_clock.now());
        other.mergeRelayed(m_table.self().update, m_clock.now());
        CPPUNIT_ASSERT(other.find("a")->update.state == MemberState::Alive);
    }

    void answersOutdatedSuspicionWithNewerHeartbeat()
    {
        m_table.mergeDirect(update("b", 1, 9), m_clock.now());
        std::uint64_t cursor = m_table.changeSequence();
        m_table.mergeRelayed(update("b", 1, 5, MemberState::Suspected), m_clock.now());
        CPPUNIT_ASSERT(state("b") == MemberState::Alive);
        const auto changes = m_table.changesAfter(cursor, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changes.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, changes.front().heartbeat);
    }

    // Guards against a partition between regions that causes the removal of a whole region from the
    // roster.
    void keepsPartitionedRegionInRoster()
    {
        m_table.setRoster({ member("a", 1), member("p", 1, "plv") }, m_clock.now());
        m_table.mergeDirect(update("p", 1, 1, MemberState::Alive, "plv"), m_clock.now());
        m_table.setMonitored({ "p" }, m_clock.now());
        const std::uint64_t told = m_table.changeSequence();
        run(20s);
        CPPUNIT_ASSERT(!m_table.find("p")->isUsable());
        CPPUNIT_ASSERT_EQUAL(told, m_table.changeSequence());
        const std::vector<RosterMember> roster{ member("a", 1), member("p", 1, "plv") };
        CPPUNIT_ASSERT(membersToRemove(roster, m_table, m_clock.now()).empty());
        m_table.mergeDirect(update("p", 1, 2, MemberState::Alive, "plv"), m_clock.now());
        CPPUNIT_ASSERT(m_table.find("p")->isUsable());
    }

    void memberCountIsBounded()
    {
        MemberTableSettings settings;
        settings.maxMembers = 10;
        MemberTable table(member("a", 1), 1, settings, m_clock.now());
        for (int i = 0; i < 100; ++i)
            table.mergeRelayed(update("x" + std::to_string(i), 1, 1), m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 10 }, table.records().size());
        CPPUNIT_ASSERT(table.find("a"));
    }

    void cellPlanHoldsLiveRosterMembersOnly()
    {
        CPPUNIT_ASSERT(buildCellPlan({}, m_table)->members().empty());
        const std::vector<RosterMember> roster{ member("a", 1), member("b", 1), member("c", 1) };
        m_table.setRoster(roster, m_clock.now());
        m_table.mergeDirect(update("d", 1, 1), m_clock.now());
        m_table.mergeRelayed(update("b", 1, 1, MemberState::Suspected), m_clock.now());
        m_table.setPlatformLeaving({ "c" });
        const auto plan = buildCellPlan(roster, m_table);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, plan->members().size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), plan->members()[0].identity.instanceId);
        CPPUNIT_ASSERT(plan->members()[1].leaving);
    }

    // Guards against a partitioned instance that removes all others from the roster at once.
    void lowestLiveInstanceRemovesDeadMembers()
    {
        const std::vector<RosterMember> roster{ member("a", 1), member("b", 1), member("c", 1) };
        m_table.setRoster(roster, m_clock.now());
        m_table.mergeRelayed(update("b", 1, 1, MemberState::Dead), m_clock.now());
        CPPUNIT_ASSERT(membersToRemove(roster, m_table, m_clock.now()).empty());
        m_clock.advance(1s);
        const auto removed = membersToRemove(roster, m_table, m_clock.now());
        CPPUNIT_ASSERT((removed == std::vector<RosterMember>{ member("b", 1) }));
        m_table.mergeRelayed(update("c", 1, 1, MemberState::Dead), m_clock.now());
        m_clock.advance(2s);
        CPPUNIT_ASSERT(membersToRemove(roster, m_table, m_clock.now()).empty());
        m_clock.advance(8s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                             membersToRemove(roster, m_table, m_clock.now()).size());
        m_table.mergeDirect(update("0", 1, 1), m_clock.now());
        CPPUNIT_ASSERT(membersToRemove(roster, m_table, m_clock.now()).empty());
    }

private:
    MemberState state(const std::string &id) { return m_table.find(id)->update.state; }

    void run(Duration duration)
    {
        for (Duration passed{}; passed < duration; passed += 100ms) {
            m_clock.advance(100ms);
            m_table.tick(m_clock.now());
        }
    }

    ManualClock m_clock;
    MemberTable m_table{ member("a", 1), 1, {}, m_clock.now() };
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberTableTest);

} // namespace lycheebay
