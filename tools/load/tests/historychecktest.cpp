#include "tools/load/historycheck.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace lycheebay::load;

namespace {

Try makeTry(const std::string &key, Outcome outcome)
{
    Try result;
    result.key = key;
    result.outcome = outcome;
    result.status = outcome == Outcome::Done ? 200 : 503;
    return result;
}

RequestRecord makeRequest(const std::string &id, Kind kind, std::vector<Try> tries)
{
    RequestRecord record;
    record.id = id;
    record.kind = kind;
    record.outcome = tries.back().outcome;
    record.tries = std::move(tries);
    return record;
}

} // namespace

class HistoryCheckTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HistoryCheckTest);
    CPPUNIT_TEST(truthfulHistoryIsClean);
    CPPUNIT_TEST(findsDoubledKey);
    CPPUNIT_TEST(findsRequestDoubledOverTwoKeys);
    CPPUNIT_TEST(findsLost);
    CPPUNIT_TEST(findsFalseNotRun);
    CPPUNIT_TEST(findsFalseNotRunAfterUnknown);
    CPPUNIT_TEST(findsFalseNotRunOfLookup);
    CPPUNIT_TEST(findsEverySeededFault);
    CPPUNIT_TEST(historyLineRoundTrips);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against false alarms: unknown orders may run once or never, lookups may run twice.
    void truthfulHistoryIsClean()
    {
        const std::vector<RequestRecord> history = {
            makeRequest("a", Kind::Order, { makeTry("a1", Outcome::Done) }),
            makeRequest("b", Kind::Order,
                        { makeTry("b1", Outcome::NotRun), makeTry("b2", Outcome::Done) }),
            makeRequest("c", Kind::Order, { makeTry("c1", Outcome::Unknown) }),
            makeRequest("d", Kind::Order, { makeTry("d1", Outcome::Unknown) }),
            makeRequest("e", Kind::Lookup,
                        { makeTry("e", Outcome::Unknown), makeTry("e", Outcome::NotRun) }),
            makeRequest("f", Kind::Order, { makeTry("f1", Outcome::NotRun) }),
        };
        const HistoryCheck check =
                checkHistory(history, { { "a1", 1 }, { "b2", 1 }, { "c1", 1 }, { "e", 2 } });
        CPPUNIT_ASSERT(check.isClean());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), check.sent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), check.answered);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), check.refused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), check.refusedUnknown);
    }

    /// Guards against missing an order that ran twice with one key.
    void findsDoubledKey()
    {
        const auto order = makeRequest("a", Kind::Order, { makeTry("a1", Outcome::Unknown) });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             checkHistory({ order }, { { "a1", 2 } }).doubled.size());
    }

    /// Guards against missing an order that ran once under each of two keys.
    void findsRequestDoubledOverTwoKeys()
    {
        const auto order = makeRequest(
                "a", Kind::Order, { makeTry("a1", Outcome::NotRun), makeTry("a2", Outcome::Done) });
        const HistoryCheck check = checkHistory({ order }, { { "a1", 1 }, { "a2", 1 } });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), check.doubled.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), check.falseNotRun.size());
    }

    /// Guards against missing a request answered as done that no target ran.
    void findsLost()
    {
        const auto order = makeRequest("a", Kind::Order, { makeTry("a1", Outcome::Done) });
        const auto lookup = makeRequest("b", Kind::Lookup, { makeTry("b", Outcome::Done) });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), checkHistory({ order, lookup }, {}).lost.size());
    }

    /// Guards against missing a not-run refusal of a key that ran.
    void findsFalseNotRun()
    {
        const auto order = makeRequest("a", Kind::Order, { makeTry("a1", Outcome::NotRun) });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             checkHistory({ order }, { { "a1", 1 } }).falseNotRun.size());
    }

    /// Guards against an order whose repeat is refused as not-run though the first try ran.
    void findsFalseNotRunAfterUnknown()
    {
        const auto order =
                makeRequest("a", Kind::Order,
                            { makeTry("a1", Outcome::Unknown), makeTry("a1", Outcome::NotRun) });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             checkHistory({ order }, { { "a1", 1 } }).falseNotRun.size());
    }

    /// Guards against missing a lookup that ran though every try was refused as not-run.
    void findsFalseNotRunOfLookup()
    {
        const auto lookup =
                makeRequest("a", Kind::Lookup,
                            { makeTry("a", Outcome::NotRun), makeTry("a", Outcome::NotRun) });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             checkHistory({ lookup }, { { "a", 1 } }).falseNotRun.size());
    }

    /// Guards against faults that hide among many sound requests.
    void findsEverySeededFault()
    {
        std::mt19937 random(42);
        std::vector<RequestRecord> history;
        RunCounts runs;
        std::size_t doubled = 0;
        std::size_t lost = 0;
        std::size_t falseNotRun = 0;
        for (int n = 0; n < 5000; ++n) {
            const std::string id = std::to_string(n);
            const auto fault = random() % 100;
            const auto outcome = fault == 2 ? Outcome::NotRun : Outcome::Done;
            history.push_back(makeRequest(id, Kind::Order, { makeTry(id, outcome) }));
            doubled += fault == 0 ? 1 : 0;
            lost += fault == 1 ? 1 : 0;
            falseNotRun += fault == 2 ? 1 : 0;
            runs[id] = fault == 0 ? 2 : (fault == 1 ? 0 : 1);
        }
        const HistoryCheck check = checkHistory(history, runs);
        CPPUNIT_ASSERT(doubled > 0 && lost > 0 && falseNotRun > 0);
        CPPUNIT_ASSERT_EQUAL(doubled, check.doubled.size());
        CPPUNIT_ASSERT_EQUAL(lost, check.lost.size());
        CPPUNIT_ASSERT_EQUAL(falseNotRun, check.falseNotRun.size());
    }

    /// Guards against a field that the stored history loses.
    void historyLineRoundTrips()
    {
        RequestRecord record = makeRequest(
                "a", Kind::Order, { makeTry("k", Outcome::Unknown), makeTry("k", Outcome::Done) });
        record.service = "s";
        record.path = Path::Direct;
        record.intendedUs = 7;
        record.endUs = 9;
        record.connectionsRefused = 3;
        record.isWrong = true;
        record.tries[0].address = "127.0.0.1:1";
        record.tries[0].reason = "r";
        record.tries[0].sentUs = 8;
        CPPUNIT_ASSERT(record == fromJson(nlohmann::json::parse(toJson(record).dump())));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryCheckTest);
