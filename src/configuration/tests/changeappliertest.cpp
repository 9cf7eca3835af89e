#include "configuration/changeapplier.h"
#include "configuration/snapshotpolicy.h"
#include "configuration/tests/fakelog.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

class ChangeApplierTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ChangeApplierTest);
    CPPUNIT_TEST(repeatedIdChangesNothing);
    CPPUNIT_TEST(racingChangesOfOneObjectConflict);
    CPPUNIT_TEST(sheetMustNameLaterChanges);
    CPPUNIT_TEST(removedStopStillConflicts);
    CPPUNIT_TEST(malformedRecordIsAudited);
    CPPUNIT_TEST(rejectsImpossibleBaseRevision);
    CPPUNIT_TEST(rosterKeepsNewestIncarnation);
    CPPUNIT_TEST(listsAreBounded);
    CPPUNIT_TEST(removedObjectsAreForgotten);
    CPPUNIT_TEST(snapshotFallsDue);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_applier.emplace(ConfigurationState());
        m_offset = 0;
        apply("sheet-1", 0, SheetBody{ sampleEstate(), {} });
    }

    // Guards against a lost acknowledgement that makes a drain run twice.
    void repeatedIdChangesNothing()
    {
        apply("d1", 1, DrainDomainBody{ "sof-a" });
        apply("r1", 2, RestoreDomainBody{ "sof-a" });
        const auto before = m_applier->state();
        apply("d1", 1, DrainDomainBody{ "sof-a" });
        const auto after = m_applier->state();
        CPPUNIT_ASSERT(*before->estate() == *after->estate());
        CPPUNIT_ASSERT(before->audit() == after->audit());
        CPPUNIT_ASSERT_EQUAL(before->revision(), after->revision());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), after->nextOffset());
    }

    void racingChangesOfOneObjectConflict()
    {
        CPPUNIT_ASSERT(apply("d1", 1, DrainDomainBody{ "sof-a" }).accepted);
        const AuditEntry second = apply("r1", 1, RestoreDomainBody{ "sof-a" });
        CPPUNIT_ASSERT(!second.accepted);
        CPPUNIT_ASSERT_EQUAL(std::string("conflicts with change d1 at 2"), second.reason);
        CPPUNIT_ASSERT_EQUAL(std::string("d1"),
                             m_applier->state()->history().seen.back().conflictsWith);
        CPPUNIT_ASSERT(m_applier->state()->estate()->findFailureDomain("sof-a")->drained);
        CPPUNIT_ASSERT(apply("d2", 1, DrainTargetBody{ "kat-2" }).accepted);
        CPPUNIT_ASSERT(!apply("x", 1, DrainTargetBody{ "kat-9" }).accepted);
    }

    // Guards against a morning sheet that silently reverts a drain made after its export.
    void sheetMustNameLaterChanges()
    {
        apply("d1", 1, DrainDomainBody{ "sof-a" });
        apply("j1", 1, JoinBody{ sampleMember("e-1", 7) });
        apply("d2", 1, DrainTargetBody{ "kat-2" });
        CPPUNIT_ASSERT(!apply("s2", 1, SheetBody{ sampleEstate(), {} }).accepted);
        const AuditEntry partly = apply("s3", 1, SheetBody{ sampleEstate(), { 2 } });
        CPPUNIT_ASSERT_EQUAL(std::string("conflicts with change d2 at 4"), partly.reason);
        CPPUNIT_ASSERT(apply("s4", 1, SheetBody{ sampleEstate(), { 2, 4 } }).accepted);
        CPPUNIT_ASSERT(!m_applier->state()->estate()->findFailureDomain("sof-a")->drained);
        CPPUNIT_ASSERT(!apply("s5", 1, SheetBody{ sampleEstate(), { 2, 4 } }).accepted);
        CPPUNIT_ASSERT(!apply("r1", 4, RestoreDomainBody{ "sof-a" }).accepted);
    }

    void removedStopStillConflicts()
    {
        apply("a1", 1, AddStopBody{ sampleStop("s1") });
        CPPUNIT_ASSERT(!apply("a2", 2, AddStopBody{ sampleStop("s1") }).accepted);
        CPPUNIT_ASSERT(apply("r1", 3, RemoveStopBody{ "s1" }).accepted);
        CPPUNIT_ASSERT(!apply("a3", 3, AddStopBody{ sampleStop("s1") }).accepted);
        CPPUNIT_ASSERT(apply("a4", 4, AddStopBody{ sampleStop("s1") }).accepted);
    }

    void malformedRecordIsAudited()
    {
        const auto before = m_applier->state();
        m_applier->apply({ ++m_offset, "{\"kind\":\"drain" });
        const auto after = m_applier->state();
        CPPUNIT_ASSERT(*before->estate() == *after->estate());
        CPPUNIT_ASSERT_EQUAL(std::string("malformed"), after->audit().back().kind);
        CPPUNIT_ASSERT(!after->audit().back().accepted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), after->nextOffset());
    }

    void rejectsImpossibleBaseRevision()
    {
        CPPUNIT_ASSERT(!apply("d1", 99, DrainDomainBody{ "sof-a" }).accepted);
        CPPUNIT_ASSERT(!apply("d2", m_offset + 1, DrainDomainBody{ "sof-a" }).accepted);
        ChangeApplier fresh{ ConfigurationState() };
        fresh.apply({ 0, *encodeChange(makeChange("s", 0, SheetBody{ sampleEstate(), {} })) });
        CPPUNIT_ASSERT(fresh.state()->audit().empty());
        CPPUNIT_ASSERT(fresh.state()->estate()->data().targets.empty());
    }

    // Guards against a late leave of an old run that removes the new run of an instance.
    void rosterKeepsNewestIncarnation()
    {
        apply("j1", 0, JoinBody{ sampleMember("e-1", 7) });
        apply("j2", 0, JoinBody{ sampleMember("e-1", 8) });
        CPPUNIT_ASSERT(!apply("l1", 0, LeaveBody{ "e-1", 7 }).accepted);
        const auto roster = m_applier->state()->roster();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), roster.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), roster[0].incarnation);
        CPPUNIT_ASSERT_EQUAL(Revision(3), roster[0].joinedAt);
        CPPUNIT_ASSERT(apply("l2", 0, LeaveBody{ "e-1", 8 }).accepted);
        CPPUNIT_ASSERT(m_applier->state()->roster().empty());
    }

    // Guards against a state, and so a snapshot, that grows for ever.
    void listsAreBounded()
    {
        for (std::size_t i = 0; i < kMaxOperatorChanges + 10; ++i)
            m_applier->apply(
                    { ++m_offset, *encodeChange(makeChange("d" + std::to_string(i), m_offset - 1,
                                                           DrainDomainBody{ "sof-a" })) });
        const ConfigurationHistory &history = m_applier->state()->history();
        CPPUNIT_ASSERT_EQUAL(kMaxAuditEntries, m_applier->state()->audit().size());
        CPPUNIT_ASSERT_EQUAL(kMaxSeenChanges, history.seen.size());
        CPPUNIT_ASSERT_EQUAL(kMaxOperatorChanges, history.operatorChanges.size());
        // A sheet from before the forgotten changes must still conflict.
        CPPUNIT_ASSERT(!apply("s2", 1, SheetBody{ sampleEstate(), {} }).accepted);
    }

    // Guards against an object that was forgotten, so that a stale change of it is accepted.
    void removedObjectsAreForgotten()
    {
        for (std::size_t i = 0; i < kMaxRemovedObjects + 10; ++i) {
            const std::string id = "s" + std::to_string(i);
            CPPUNIT_ASSERT(apply("a" + id, m_offset, AddStopBody{ sampleStop(id) }).accepted);
            CPPUNIT_ASSERT(apply("r" + id, m_offset, RemoveStopBody{ id }).accepted);
        }
        const auto &objects = m_applier->state()->history().objectRevisions;
        CPPUNIT_ASSERT(objects.size() <= kMaxRemovedObjects + 4);
        CPPUNIT_ASSERT(!objects.contains("stop s0"));
        CPPUNIT_ASSERT(!apply("late", 2, AddStopBody{ sampleStop("s0") }).accepted);
        CPPUNIT_ASSERT(apply("again", m_offset, AddStopBody{ sampleStop("s0") }).accepted);
    }

    void snapshotFallsDue()
    {
        const SnapshotPolicy policy(std::chrono::hours(3));
        const WallTime written(std::chrono::milliseconds(1'700'000'000'000));
        CPPUNIT_ASSERT(!policy.isDue(ConfigurationState(), written));
        CPPUNIT_ASSERT(!policy.isDue(*m_applier->state(), written + std::chrono::hours(1)));
        CPPUNIT_ASSERT(policy.isDue(*m_applier->state(), written + std::chrono::minutes(61)));
        CPPUNIT_ASSERT(policy.isDue(*m_applier->state(), written - std::chrono::minutes(2)));
        for (int i = 0; i < 199; ++i)
            m_applier->apply({ ++m_offset, "damaged" });
        CPPUNIT_ASSERT(policy.isDue(*m_applier->state(), written));
        const auto body = ChangeApplier::snapshotOf(*m_applier->state());
        m_applier->apply({ ++m_offset, *encodeChange(makeChange("snap", 1, body)) });
        CPPUNIT_ASSERT(!policy.isDue(*m_applier->state(), written));
        CPPUNIT_ASSERT(SnapshotPolicy::isAuthor("e-1", { "e-2", "e-1" }));
        CPPUNIT_ASSERT(!SnapshotPolicy::isAuthor("e-2", { "e-2", "e-1" }));
    }

private:
    AuditEntry apply(const std::string &id, Revision base, ChangeBody body)
    {
        m_applier->apply({ ++m_offset, *encodeChange(makeChange(id, base, std::move(body))) });
        return m_applier->state()->audit().back();
    }

    std::optional<ChangeApplier> m_applier;
    std::uint64_t m_offset = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeApplierTest);

} // namespace lycheebay
