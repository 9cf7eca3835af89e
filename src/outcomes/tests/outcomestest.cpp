#include "base/hash.h"
#include "base/manualclock.h"
#include "outcomes/crashsuspects.h"
#include "outcomes/httpmessage.h"
#include "outcomes/outcometable.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

using namespace std::chrono_literals;
using namespace std::string_literals;

class OutcomesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OutcomesTest);
    CPPUNIT_TEST(ticketHasOneCanonicalForm);
    CPPUNIT_TEST(keyRunsOnceAndIsReplayed);
    CPPUNIT_TEST(keyWithAnotherBodyConflicts);
    CPPUNIT_TEST(removedKeyNeverRuns);
    CPPUNIT_TEST(ticketOfAnotherIncarnationIsUnknown);
    CPPUNIT_TEST(fullTableRefusesNewKeysAndKeepsEntries);
    CPPUNIT_TEST(bodiesAreEvictedBeforeKeys);
    CPPUNIT_TEST(notRunMayRunAgainAndUnknownMayNot);
    CPPUNIT_TEST(suspectRunsExclusivelyAndIsThenRefused);
    CPPUNIT_TEST(hashOfPartsIsThatOfTheWhole);
    CPPUNIT_TEST(crashIsCountedFromTheLossOfTheRun);
    CPPUNIT_TEST(runsLostTogetherCountOnce);
    CPPUNIT_TEST(answeredRequestIsNotSuspected);
    CPPUNIT_TEST(suspectsAreBounded);
    CPPUNIT_TEST(queryValuesAreEncoded);
    CPPUNIT_TEST(queryValuesAreDecoded);
    CPPUNIT_TEST(optionsOfTheConnectionAreNotForwarded);
    CPPUNIT_TEST(manyHeadersTakeNoQuadraticTime);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t kSelf = 7;

    KeyState begin(const std::string &suffix, std::uint64_t body = 1)
    {
        const std::string text = formatTicket(m_ticket) + "~" + suffix;
        return m_table->begin(*parseIdempotencyKey(text), { body, body }, m_clock.now()).state;
    }
    std::string key(const std::string &suffix) { return formatTicket(m_ticket) + "~" + suffix; }
    static std::shared_ptr<const HttpResponse> response(std::size_t size)
    {
        return std::make_shared<const HttpResponse>(
                HttpResponse{ 200, {}, std::string(size, 'x') });
    }
    void useLimits(const OutcomeLimits &limits)
    {
        m_table = std::make_unique<OutcomeTable>(limits, kSelf);
    }

    ManualClock m_clock;
    TicketIssuer m_issuer{ kSelf };
    Ticket m_ticket = m_issuer.issue(m_clock.now());
    std::unique_ptr<OutcomeTable> m_table = std::make_unique<OutcomeTable>(OutcomeLimits{}, kSelf);

public:
    // Guards against two spellings of one ticket, which would be two keys for one request, and
    // against malformed input.
    void ticketHasOneCanonicalForm()
    {
        const std::string text = formatTicket(m_ticket);
        CPPUNIT_ASSERT(*parseTicket(text) == m_ticket);
        const std::vector<std::string> badTickets{
            text + " ",
            "lb1.7.1.1",
            "lb1",
            "",
            "lb2" + text.substr(3),
            text + ".1",
            "lb1.000000000000000A.1.1",
            "lb1.0000000000000007.01.1",
            "lb1.0000000000000007.-1.1",
            "lb1.0000000000000007.99999999999999999.1",
        };
        for (const std::string &bad : badTickets)
            CPPUNIT_ASSERT_MESSAGE(bad, !parseTicket(bad).ok());
        const std::vector<std::string> badKeys{ text, text + "~", text + "~a b", text + "~a~b",
                                                text + "~" + std::string(129, 'a') };
        for (const std::string &bad : badKeys)
            CPPUNIT_ASSERT_MESSAGE(bad, !parseIdempotencyKey(bad).ok());
    }

    // Guards against a second run of a key.
    void keyRunsOnceAndIsReplayed()
    {
        CPPUNIT_ASSERT(begin("a") == KeyState::Run);
        CPPUNIT_ASSERT(begin("a") == KeyState::InProgress);
        m_table->completeDone(key("a"), response(3));
        CPPUNIT_ASSERT(begin("a") == KeyState::Replay);
        m_clock.advance(9min);
        CPPUNIT_ASSERT(begin("a") == KeyState::Replay);
    }

    // Guards against replaying the response of a different request.
    void keyWithAnotherBodyConflicts()
    {
        begin("a", 1);
        CPPUNIT_ASSERT(begin("a", 2) == KeyState::Conflict);
        m_table->completeDone(key("a"), response(3));
        CPPUNIT_ASSERT(begin("a", 2) == KeyState::Conflict);
    }

    // Guards against running a key whose entry may have been removed.
    void removedKeyNeverRuns()
    {
        begin("a");
        m_table->completeDone(key("a"), response(3));
        m_clock.advance(60s);
        CPPUNIT_ASSERT(begin("new") == KeyState::ExpiredNotRun);
        m_clock.advance(9min);
        CPPUNIT_ASSERT(begin("a") == KeyState::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_table->entryCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_table->byteCount());
        m_ticket.issuedAt = m_clock.now() + 1ms;
        CPPUNIT_ASSERT(begin("future") == KeyState::Invalid);
    }

    // Guards against running a key that another incarnation may have run.
    void ticketOfAnotherIncarnationIsUnknown()
    {
        m_ticket.incarnation = kSelf + 1;
        CPPUNIT_ASSERT(begin("a") == KeyState::Unknown);
    }

    // Guards against evicting a key from a full table, which would let the key run again.
    void fullTableRefusesNewKeysAndKeepsEntries()
    {
        useLimits({ .maxEntries = 2 });
        begin("a");
        begin("b");
        CPPUNIT_ASSERT(begin("c") == KeyState::Full);
        m_table->completeDone(key("a"), response(3));
        CPPUNIT_ASSERT(begin("c") == KeyState::Full);
        CPPUNIT_ASSERT(begin("a") == KeyState::Replay);
        m_table->completeNotRun(key("b"));
        CPPUNIT_ASSERT(begin("c") == KeyState::Run);
    }

    // Guards against enforcing the memory limit by removing keys.
    void bodiesAreEvictedBeforeKeys()
    {
        useLimits({ .maxBytes = 2000, .maxResponseBytes = 1000 });
        begin("large");
        m_table->completeDone(key("large"), response(1001));
        CPPUNIT_ASSERT(begin("large") == KeyState::DoneWithoutBody);
        begin("a");
        m_table->completeDone(key("a"), response(800));
        begin("b");
        m_table->completeDone(key("b"), response(800));
        CPPUNIT_ASSERT(begin("a") == KeyState::DoneWithoutBody);
        CPPUNIT_ASSERT(begin("b") == KeyState::Replay);
        CPPUNIT_ASSERT(m_table->byteCount() <= 2000);
    }

    // Guards against running a request again that may have run, and against refusing one that did
    // not run.
    void notRunMayRunAgainAndUnknownMayNot()
    {
        begin("a");
        m_table->completeNotRun(key("a"));
        CPPUNIT_ASSERT(begin("a") == KeyState::Run);
        m_table->completeUnknown(key("a"));
        CPPUNIT_ASSERT(begin("a") == KeyState::Unknown);
    }

    // Guards against identities that differ between instances which hash requests in different
    // ways.
    void hashOfPartsIsThatOfTheWhole()
    {
        const std::string part(700, 'x');
        CPPUNIT_ASSERT_EQUAL(hash64("ab", 2), hash64({ "a", "", "b" }, 2));
        CPPUNIT_ASSERT_EQUAL(hash64(part + "y" + part, 1), hash64({ part, "y", part }, 1));
    }

    LostRun lostNow() const { return { m_clock.now(), m_clock.now() }; }

    // Guards against a second crash that is taken for a part of the first one because the first was
    // noticed late.
    void crashIsCountedFromTheLossOfTheRun()
    {
        CrashSuspects suspects;
        const TimePoint began = m_clock.now();
        m_clock.advance(200ms);
        suspects.recordCrash(1, {}, { began, began + 10ms }, m_clock.now());
        m_clock.advance(10ms);
        const LostRun second{ began + 11ms, began + 20ms };
        CPPUNIT_ASSERT_EQUAL(2, suspects.recordCrash(1, {}, second, m_clock.now()).crashCount);
    }

    // Guards against a request that crashes one target after another.
    void suspectRunsExclusivelyAndIsThenRefused()
    {
        CrashSuspects suspects;
        CPPUNIT_ASSERT(suspects.admit(1, m_clock.now()) == Admission::Unrestricted);
        suspects.recordCrash(1, {}, lostNow(), m_clock.now());
        CPPUNIT_ASSERT(suspects.admit(1, m_clock.now()) == Admission::Exclusive);
        CPPUNIT_ASSERT(suspects.admit(1, m_clock.now()) == Admission::AlreadyRunning);
        suspects.release(1);
        m_clock.advance(1s);
        CPPUNIT_ASSERT_EQUAL(2, suspects.recordCrash(1, {}, lostNow(), m_clock.now()).crashCount);
        CPPUNIT_ASSERT(suspects.admit(1, m_clock.now()) == Admission::Refused);
        m_clock.advance(10min);
        CPPUNIT_ASSERT(suspects.admit(1, m_clock.now()) == Admission::Exclusive);
        suspects.recordResponse(1, m_clock.now());
        CPPUNIT_ASSERT(suspects.admit(1, m_clock.now()) == Admission::Unrestricted);
    }

    // Guards against suspecting a frequent lookup whose concurrent runs are lost when a failure
    // domain fails.
    void runsLostTogetherCountOnce()
    {
        CrashSuspects suspects;
        const TimePoint began = m_clock.now();
        m_clock.advance(1ms);
        CPPUNIT_ASSERT_EQUAL(
                1, suspects.recordCrash(1, {}, { began, m_clock.now() }, m_clock.now()).crashCount);
        m_clock.advance(1ms);
        CPPUNIT_ASSERT_EQUAL(
                0, suspects.recordCrash(1, {}, { began, m_clock.now() }, m_clock.now()).crashCount);
        CPPUNIT_ASSERT(suspects.admit(1, m_clock.now()) == Admission::Exclusive);
    }

    // Guards against refusing a frequent lookup after the targets of a failure domain were lost one
    // after another. Seen in make bench BENCH=domain.
    void answeredRequestIsNotSuspected()
    {
        CrashSuspects suspects;
        suspects.recordResponse(1, m_clock.now());
        for (int i = 0; i < 3; ++i) {
            m_clock.advance(1s);
            CPPUNIT_ASSERT_EQUAL(0,
                                 suspects.recordCrash(1, {}, lostNow(), m_clock.now()).crashCount);
            suspects.mergeFromPeer({ 1, 2, 1min, {} }, m_clock.now());
            CPPUNIT_ASSERT(suspects.admit(1, m_clock.now()) == Admission::Unrestricted);
        }
        m_clock.advance(10s);
        CPPUNIT_ASSERT_EQUAL(1, suspects.recordCrash(1, {}, lostNow(), m_clock.now()).crashCount);
    }

    // Guards against memory use that grows with the number of distinct requests.
    void suspectsAreBounded()
    {
        CrashSuspects suspects({ .maxSuspects = 3 });
        for (Fingerprint i = 0; i < 10; ++i) {
            m_clock.advance(1ms);
            suspects.recordCrash(i, { "sof" }, lostNow(), m_clock.now());
        }
        suspects.mergeFromPeer({ 99, 2, 1h, {} }, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), suspects.count());
        CPPUNIT_ASSERT(suspects.refusedFor(99, m_clock.now()) == Duration(10min));
    }

    // Guards against a value that adds parameters, headers or another request.
    void queryValuesAreEncoded()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("/p"), targetWithQuery("/p", {}));
        CPPUNIT_ASSERT_EQUAL(std::string("/p?a=Az09-._~&b="),
                             targetWithQuery("/p", { { "a", "Az09-._~" }, { "b", "" } }));
        CPPUNIT_ASSERT_EQUAL(std::string("/p?a=%26%3D%2B%23%25%20%2F%3F%0D%0A%00%7F%C3%BC%FF"),
                             targetWithQuery("/p", { { "a", "&=+#% /?\r\n\0\x7f\xc3\xbc\xff"s } }));
    }

    // Guards against a caller that is taken for one of another host, zone or service because it
    // encodes what it sends.
    void queryValuesAreDecoded()
    {
        const std::string target = "/p?a=a+b%20c%26%00%fF&b=&c=x=y&a=2&%64=4&e";
        CPPUNIT_ASSERT_EQUAL("a b c&\0\xff"s, queryValue(target, "a").value());
        CPPUNIT_ASSERT_EQUAL(""s, queryValue(target, "b").value());
        CPPUNIT_ASSERT_EQUAL("x=y"s, queryValue(target, "c").value());
        for (const char *it : { "d", "e", "p", "" })
            CPPUNIT_ASSERT_MESSAGE(it, !queryValue(target, it));
        for (const char *it : { "%", "%2", "%zz", "%-1", "%+1", "% 1", "a%2" })
            CPPUNIT_ASSERT_MESSAGE(it, !queryValue("/p?a=" + std::string(it) + "&b=1", "a"));
        for (int byte = 0; byte < 256; ++byte) {
            const std::string value(1, static_cast<char>(byte));
            CPPUNIT_ASSERT_EQUAL(value,
                                 queryValue(targetWithQuery("/", { { "a", value } }), "a").value());
        }
    }

    void optionsOfTheConnectionAreNotForwarded()
    {
        const HttpHeaders headers{ { "A", "1" },     { "Connection", "close, x-One ,B" },
                                   { "X-ONE", "2" }, { "Keep-Alive", "timeout=1" },
                                   { "b", "3" },     { "connection", "X-Two" },
                                   { "x-two", "4" }, { "X", "5" } };
        const HttpHeaders expected{ { "A", "1" }, { "X", "5" } };
        CPPUNIT_ASSERT(endToEndHeaders(headers) == expected);
        CPPUNIT_ASSERT(endToEndHeaders({ { "Close", "1" } }).size() == 1);
    }

    // In quadratic time this takes longer than the test program may.
    void manyHeadersTakeNoQuadraticTime()
    {
        constexpr std::size_t kHeaders = 600'000;
        HttpHeaders headers;
        for (std::size_t i = 0; i < kHeaders / 2; ++i) {
            headers.push_back({ "connection", "option" + std::to_string(i) });
            headers.push_back({ "name", "" });
        }
        CPPUNIT_ASSERT_EQUAL(kHeaders / 2, endToEndHeaders(headers).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutcomesTest);

} // namespace lycheebay
