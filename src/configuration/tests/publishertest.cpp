#include "base/manualclock.h"
#include "configuration/changepublisher.h"
#include "configuration/tests/fakelog.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

class PublisherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PublisherTest);
    CPPUNIT_TEST(lostAcknowledgementAppendsOnce);
    CPPUNIT_TEST(lostRequestIsAppendedAgain);
    CPPUNIT_TEST(lateAppendStillCountsOnce);
    CPPUNIT_TEST(neverAppendsAgainWhileTheLogIsUnread);
    CPPUNIT_TEST(outageEndsAtTheDeadline);
    CPPUNIT_TEST(reportsConflicts);
    CPPUNIT_TEST(firstOffsetOfAStreamIsAppendedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_log = FakeLog();
        CPPUNIT_ASSERT(m_log.append({}, *encodeChange(sheet())).ok());
        m_log.appends = 0;
    }

    // Guards against an operator's change that is appended twice after a lost response.
    void lostAcknowledgementAppendsOnce()
    {
        m_log.appendFaults = { { absl::UnknownError("lost"), true } };
        const auto report = publish(drain("d1"));
        CPPUNIT_ASSERT(report.ok() && report->outcome == PublishOutcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(Revision(2), report->appendedAt);
        CPPUNIT_ASSERT_EQUAL(1, m_log.appends);
    }

    void lostRequestIsAppendedAgain()
    {
        m_log.appendFaults = { { absl::UnknownError("lost"), false },
                               { absl::UnavailableError("down"), false } };
        const auto report = publish(drain("d1"));
        CPPUNIT_ASSERT(report.ok() && report->outcome == PublishOutcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(3, m_log.appends);
    }

    // Guards against a first append that takes effect after the log was read again.
    void lateAppendStillCountsOnce()
    {
        const std::string record = *encodeChange(drain("d1"));
        m_log.appendFaults = { { absl::UnknownError("lost"), false } };
        bool late = false;
        const auto report = publish(drain("d1"), [&] {
            if (!late)
                CPPUNIT_ASSERT(m_log.append(kConfigurationStream, record).ok());
            late = true;
        });
        CPPUNIT_ASSERT(report.ok() && report->outcome == PublishOutcome::Accepted);
        CPPUNIT_ASSERT(m_follower.state()->audit().size() == 2);
    }

    void neverAppendsAgainWhileTheLogIsUnread()
    {
        m_log.appendFaults = { { absl::UnknownError("lost"), true } };
        m_log.readStatus = absl::UnavailableError("down");
        CPPUNIT_ASSERT(absl::IsUnknown(publish(drain("d1")).status()));
        CPPUNIT_ASSERT_EQUAL(1, m_log.appends);
        m_log.appendFaults = {};
        const auto report = publish(drain("d2"));
        CPPUNIT_ASSERT(report.ok() && report->outcome == PublishOutcome::Appended);
        CPPUNIT_ASSERT_EQUAL(Revision(3), report->appendedAt);
    }

    void outageEndsAtTheDeadline()
    {
        for (int i = 0; i < 1000; ++i)
            m_log.appendFaults.push_back({ absl::UnavailableError("down"), false });
        CPPUNIT_ASSERT(absl::IsUnavailable(publish(drain("d1")).status()));
        CPPUNIT_ASSERT(m_log.appends < 20);
    }

    void reportsConflicts()
    {
        CPPUNIT_ASSERT(publish(drain("d1")).ok());
        const auto report = publish(makeChange("r1", 1, RestoreDomainBody{ "sof-a" }));
        CPPUNIT_ASSERT(report.ok() && report->outcome == PublishOutcome::Rejected);
        CPPUNIT_ASSERT_EQUAL(std::string("d1"), report->conflictsWith);
        CPPUNIT_ASSERT_EQUAL(std::string("conflicts with change d1 at 2"), report->reason);
        CPPUNIT_ASSERT(absl::IsInvalidArgument(publish(drain("a b")).status()));
    }

    // Guards against a change at offset 0, which every reader ignores, that counts as published.
    void firstOffsetOfAStreamIsAppendedAgain()
    {
        m_log = FakeLog();
        m_log.first = m_log.next = 0;
        const auto report = publish(sheet());
        CPPUNIT_ASSERT(report.ok() && report->outcome == PublishOutcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(Revision(1), report->appendedAt);
    }

private:
    static Change sheet() { return makeChange("sheet", 0, SheetBody{ sampleEstate(), {} }); }
    static Change drain(const std::string &id)
    {
        return makeChange(id, 1, DrainDomainBody{ "sof-a" });
    }

    absl::StatusOr<PublishReport> publish(const Change &change, std::function<void()> onPause = {})
    {
        ChangePublisher publisher(m_log, m_follower, m_clock, [&](Duration step) {
            if (onPause)
                onPause();
            m_clock.advance(step);
        });
        return publisher.publish(change, m_clock.now() + std::chrono::seconds(1));
    }

    FakeLog m_log;
    ManualClock m_clock;
    Topic<ConfigurationState> m_topic;
    ConfigurationFollower m_follower{ m_topic };
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublisherTest);

} // namespace lycheebay
