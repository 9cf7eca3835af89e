#include "configuration/changeapplier.h"
#include "configuration/tests/fakelog.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace lycheebay {

namespace {

const std::string kDrain = R"({"kind":"drain-domain","id":"a","author":"p","time":1,"base":0,)"
                           R"("body":{"name":"sof-a"}})";

std::string replaced(const std::string &part, const std::string &by)
{
    std::string text = kDrain;
    return text.replace(text.find(part), part.size(), by);
}

std::vector<Change> everyKind()
{
    ConfigurationState empty;
    ChangeApplier applier(empty);
    applier.apply({ 1, *encodeChange(makeChange("s", 0, SheetBody{ sampleEstate(), {} })) });
    applier.apply({ 2, *encodeChange(makeChange("j", 0, JoinBody{ sampleMember("e-1", 7) })) });
    applier.apply({ 3, "damaged" });
    return {
        makeChange("c1", 3, SheetBody{ sampleEstate(), { 4, 9 } }),
        makeChange("c2", 3, DrainDomainBody{ "sof-a" }),
        makeChange("c3", 3, RestoreDomainBody{ "sof-a" }),
        makeChange("c4", 3, DrainTargetBody{ "kat-1" }),
        makeChange("c5", 3, RestoreTargetBody{ "kat-1" }),
        makeChange("c6", 3, AddStopBody{ sampleStop("s1") }),
        makeChange("c7", 3, RemoveStopBody{ "s1" }),
        makeChange("c8", 3, JoinBody{ sampleMember("e-1", UINT64_MAX) }),
        makeChange("c9", 3, LeaveBody{ "e-1", UINT64_MAX }),
        makeChange("c10", 3, ChangeApplier::snapshotOf(*applier.state())),
    };
}

} // namespace

class ChangeCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ChangeCodecTest);
    CPPUNIT_TEST(everyKindRoundTrips);
    CPPUNIT_TEST(rejectsMalformedRecords);
    CPPUNIT_TEST(damagedRecordsNeverRaise);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyKindRoundTrips()
    {
        for (const Change &change : everyKind()) {
            const auto record = encodeChange(change);
            CPPUNIT_ASSERT_MESSAGE(record.status().ToString(), record.ok());
            CPPUNIT_ASSERT_MESSAGE(change.id, *decodeChange(*record) == change);
            CPPUNIT_ASSERT_EQUAL(std::holds_alternative<SnapshotBody>(change.body),
                                 looksLikeSnapshot(*record));
        }
    }

    // Guards against records that some readers would take and others would not.
    void rejectsMalformedRecords()
    {
        CPPUNIT_ASSERT(decodeChange(kDrain).ok());
        const std::string bad[] = {
            "",
            "null",
            "[]",
            "{",
            "\xff",
            std::string(100000, '['),
            kDrain + "x",
            replaced("drain-domain", "drain"),
            replaced("\"id\":\"a\"", "\"id\":\"\""),
            replaced("\"id\":\"a\"", "\"id\":\"a b\""),
            replaced("\"id\":\"a\"", "\"id\":7"),
            replaced("\"author\":\"p\"", "\"author\":\"\""),
            replaced("\"time\":1", "\"time\":-1"),
            replaced("\"time\":1", "\"time\":9223372036854775807"),
            replaced("\"base\":0", "\"base\":0.5"),
            replaced("\"base\":0,", ""),
            replaced("\"base\":0", "\"base\":0,\"more\":1"),
            replaced("{\"name\":\"sof-a\"}", "{}"),
            replaced("{\"name\":\"sof-a\"}", "7"),
            replaced("\"sof-a\"", "\"sof-a\",\"x\":1"),
            replaced("drain-domain", "snapshot"),
            replaced("drain-domain", "sheet"),
            kDrain + std::string(kMaxRecordBytes, ' '),
        };
        for (const std::string &record : bad)
            CPPUNIT_ASSERT_MESSAGE(record.substr(0, 200), !decodeChange(record).ok());
        CPPUNIT_ASSERT(!encodeChange(makeChange("a b", 0, DrainDomainBody{ "sof-a" })).ok());
        EstateData invalid = sampleEstate();
        invalid.targets[0].slots = 0;
        CPPUNIT_ASSERT(!encodeChange(makeChange("a", 0, SheetBody{ invalid, {} })).ok());
    }

    void damagedRecordsNeverRaise()
    {
        CPPUNIT_ASSERT(rc::check("a damaged byte gives an error or a change", [] {
            const auto changes = everyKind();
            const auto &change = changes[*rc::gen::inRange<std::size_t>(0, changes.size())];
            std::string record = *encodeChange(change);
            record[*rc::gen::inRange<std::size_t>(0, record.size())] = *rc::gen::arbitrary<char>();
            const auto decoded = decodeChange(record);
            RC_ASSERT(decoded.ok() || absl::IsInvalidArgument(decoded.status()));
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeCodecTest);

} // namespace lycheebay
