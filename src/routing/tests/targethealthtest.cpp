#include "dispatcherfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace lycheebay {

class TargetHealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetHealthTest);
    CPPUNIT_TEST(coldTargetGetsItsColdLimitAndClimbs);
    CPPUNIT_TEST(signsOfAColdStartShrinkAtOnce);
    CPPUNIT_TEST(drainingTargetGetsNothing);
    CPPUNIT_TEST(returnedTargetStartsCold);
    CPPUNIT_TEST(failFastTargetIsEjectedAndTriedWithBackOff);
    CPPUNIT_TEST(targetThatHangsOnOneInThreeIsEjected);
    CPPUNIT_TEST(atMostHalfIsEjectedAndTheWorstAreOut);
    CPPUNIT_TEST(shedAnswerReducesTheLimitBriefly);
    CPPUNIT_TEST(slowTargetLosesWorkBeforeItAnswers);
    CPPUNIT_TEST(lyingReportLeavesHalfOfTheSlots);
    CPPUNIT_TEST(probesStayWithinTheBudget);
    CPPUNIT_TEST(verdictsAreSharedAndOwnOutcomesWin);
    CPPUNIT_TEST_SUITE_END();

public:
    void coldTargetGetsItsColdLimitAndClimbs()
    {
        DispatcherFixture cell(1, 3);
        auto sent = std::get<Assignment>(cell.submit());
        CPPUNIT_ASSERT(std::holds_alternative<Queued>(cell.submit()));
        cell.end(sent, AttemptOutcome::Succeeded);
        CPPUNIT_ASSERT_EQUAL(2, cell.status("t0").limit);
        CPPUNIT_ASSERT(!cell.status("t0").cold);
    }

    // Guards against full load on a target that restarted without warning.
    void signsOfAColdStartShrinkAtOnce()
    {
        const LoadReport warm{ 1, 4, TargetPhase::Warm, 17 };
        const LoadReport restarted{ 1, 4, TargetPhase::Warm, 18 };
        const LoadReport cold{ 1, 4, TargetPhase::Cold, 17 };
        DispatcherFixture cell(1, 4);
        cell.warmUp();
        const auto limitAfter = [&](AttemptOutcome outcome, std::optional<LoadReport> load) {
            cell.warmUp(5);
            const auto sent = std::get<Assignment>(cell.submit());
            CPPUNIT_ASSERT_EQUAL(4, cell.status("t0").limit);
            cell.end(sent, outcome, 10ms, load);
            return cell.status("t0").limit;
        };
        CPPUNIT_ASSERT_EQUAL(4, limitAfter(AttemptOutcome::Succeeded, warm));
        CPPUNIT_ASSERT_EQUAL(1, limitAfter(AttemptOutcome::NotConnected, {}));
        CPPUNIT_ASSERT_EQUAL(1, limitAfter(AttemptOutcome::ConnectionLost, {}));
        CPPUNIT_ASSERT_EQUAL(1, limitAfter(AttemptOutcome::Succeeded, cold));
        const int afterRestart = limitAfter(AttemptOutcome::Succeeded, restarted);
        CPPUNIT_ASSERT(afterRestart <= 2);
    }

    void drainingTargetGetsNothing()
    {
        DispatcherFixture cell(1);
        cell.warmUp();
        const auto sent = std::get<Assignment>(cell.submit());
        cell.submit();
        cell.end(sent, AttemptOutcome::Succeeded, 10ms,
                 LoadReport{ 0, 4, TargetPhase::Draining, 5 });
        CPPUNIT_ASSERT(std::get<Shed>(cell.submit()).reason == ShedReason::NoTarget);
        const LoadReport lagging{ 0, 4, TargetPhase::Warm, 5 };
        cell.dispatcher.completeProbe("t0", lagging, cell.now + 1s);
        CPPUNIT_ASSERT(cell.status("t0").draining);
        cell.dispatcher.completeProbe("t0", LoadReport{ 0, 4, TargetPhase::Warm, 6 }, cell.now);
        CPPUNIT_ASSERT(!cell.status("t0").draining);
        CPPUNIT_ASSERT(cell.status("t0").cold);
    }

    // Guards against a stampede on a failure domain that comes back cold.
    void returnedTargetStartsCold()
    {
        DispatcherFixture cell(2, 4);
        cell.warmUp();
        cell.specs[0].acceptsWork = false;
        cell.dispatcher.updateTargets(cell.specs, cell.now);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("t1"), std::get<Assignment>(cell.submit()).targetId);
        CPPUNIT_ASSERT(std::holds_alternative<Queued>(cell.submit()));
        CPPUNIT_ASSERT(std::holds_alternative<Queued>(cell.submit()));
        cell.specs[0].acceptsWork = true;
        const auto resolved = cell.dispatcher.updateTargets(cell.specs, cell.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, resolved.size());
        CPPUNIT_ASSERT_EQUAL(1, cell.status("t0").outstanding);
        CPPUNIT_ASSERT_EQUAL(1, cell.status("t0").limit);
        // The other request waits at the warm target.
        CPPUNIT_ASSERT_EQUAL(5, cell.status("t1").outstanding);
    }

    // Guards against a target that attracts load because its errors are quick.
    void failFastTargetIsEjectedAndTriedWithBackOff()
    {
        DispatcherFixture cell(4);
        cell.warmUp();
        cell.failTarget("t2", AttemptOutcome::Failed);
        CPPUNIT_ASSERT(cell.status("t2").ejected);
        Duration backOff = 1s;
        for (int i = 0; i < 4; ++i, backOff *= 2) {
            cell.now += backOff - 100ms;
            auto sent = std::get<Assignment>(cell.submit());
            CPPUNIT_ASSERT(sent.targetId != "t2");
            cell.end(sent, AttemptOutcome::Succeeded);
            cell.now += 100ms;
            sent = std::get<Assignment>(cell.submit());
            CPPUNIT_ASSERT_EQUAL(std::string("t2"), sent.targetId);
            cell.end(sent, AttemptOutcome::Failed, 1ms);
        }
        cell.now += 5min;
        const auto sent = std::get<Assignment>(cell.submit());
        cell.end(sent, AttemptOutcome::Succeeded);
        CPPUNIT_ASSERT(!cell.status("t2").ejected);
        CPPUNIT_ASSERT_EQUAL(1, cell.status("t2").limit);
    }

    // Guards against a half-working target whose successes hide its failures.
    void targetThatHangsOnOneInThreeIsEjected()
    {
        DispatcherFixture cell(4);
        cell.warmUp();
        int sentThere = 0;
        for (int i = 0; i < 3000 && !cell.status("t1").ejected; ++i) {
            const auto sent = std::get<Assignment>(cell.submit());
            const bool hangs = sent.targetId == "t1" && ++sentThere % 3 == 0;
            cell.now += 10ms;
            if (hangs)
                cell.end(sent, AttemptOutcome::TimedOut, 1s);
            else
                cell.end(sent, AttemptOutcome::Succeeded);
        }
        CPPUNIT_ASSERT(cell.status("t1").ejected);
    }

    // Guards against a cell without targets after a failure domain disappeared.
    void atMostHalfIsEjectedAndTheWorstAreOut()
    {
        DispatcherFixture cell(4);
        cell.warmUp();
        cell.failTarget("t0", AttemptOutcome::ConnectionLost);
        cell.failTarget("t1", AttemptOutcome::ConnectionLost);
        for (int i = 0; i < 200; ++i) {
            const Decision decision = cell.submit();
            cell.now += 10ms;
            if (const auto *sent = std::get_if<Assignment>(&decision)) {
                const bool fails = sent->targetId != "t3";
                cell.end(*sent, fails ? AttemptOutcome::ConnectionLost : AttemptOutcome::Succeeded);
            }
            const auto all = cell.dispatcher.status(cell.now);
            CPPUNIT_ASSERT(std::ranges::count(all, true, &TargetStatus::ejected) <= 2);
            CPPUNIT_ASSERT(!cell.status("t3").ejected);
        }
    }

    // Guards against treating a full target as a broken one.
    void shedAnswerReducesTheLimitBriefly()
    {
        DispatcherFixture cell(1, 4);
        cell.warmUp();
        for (int i = 0; i < 3; ++i)
            cell.submit();
        const auto sent = std::get<Assignment>(cell.submit());
        cell.end(sent, AttemptOutcome::Shed, 1ms);
        CPPUNIT_ASSERT(std::holds_alternative<Queued>(cell.submit()));
        CPPUNIT_ASSERT(!cell.status("t0").ejected);
        const auto resolved = cell.dispatcher.tick(cell.now + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, resolved.size());
    }

    // Guards against load on a slowed neighbour until its first slow response arrives.
    void slowTargetLosesWorkBeforeItAnswers()
    {
        DispatcherFixture cell(8, 4);
        cell.warmUp();
        const auto stuck = std::get<Assignment>(cell.submit());
        for (int i = 0; i < 8; ++i) {
            cell.now += 10ms;
            std::vector<Assignment> sent;
            for (int k = 0; k < 12; ++k)
                sent.push_back(std::get<Assignment>(cell.submit()));
            cell.now += 10ms;
            for (const Assignment &assignment : sent)
                cell.end(assignment, AttemptOutcome::Succeeded);
            if (i < 4)
                continue;
            CPPUNIT_ASSERT(std::ranges::find(sent, stuck.targetId, &Assignment::targetId)
                           == sent.end());
        }
        cell.end(stuck, AttemptOutcome::Succeeded, 160ms);
        cell.now += 500ms;
        int returned = 0;
        for (int k = 0; k < 32; ++k)
            returned += std::get<Assignment>(cell.submit()).targetId == stuck.targetId;
        CPPUNIT_ASSERT(returned > 0);
    }

    void lyingReportLeavesHalfOfTheSlots()
    {
        DispatcherFixture cell(1, 4);
        cell.warmUp();
        const LoadReport lie{ 1000, 4, TargetPhase::Warm, 1 };
        for (int i = 0; i < 5; ++i)
            cell.end(std::get<Assignment>(cell.submit()), AttemptOutcome::Succeeded, 10ms, lie);
        CPPUNIT_ASSERT(std::holds_alternative<Assignment>(cell.submit()));
        CPPUNIT_ASSERT(std::holds_alternative<Assignment>(cell.submit()));
        CPPUNIT_ASSERT(std::holds_alternative<Queued>(cell.submit()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, cell.dispatcher.tick(cell.now + 300ms).size());
    }

    // Guards against measuring that costs the targets more than its budget.
    void probesStayWithinTheBudget()
    {
        DispatcherFixture cell(2, 1);
        int probes = 0;
        for (int i = 0; i < 1000; ++i) {
            cell.now += 100ms;
            for (const Probe &probe : cell.dispatcher.dueProbes(cell.now)) {
                probes += probe.targetId == "t0";
                cell.dispatcher.completeProbe(probe.targetId, std::nullopt, cell.now);
            }
        }
        CPPUNIT_ASSERT(probes * 6ms <= 100s * 0.005);
        CPPUNIT_ASSERT(probes >= 70);
    }

    void verdictsAreSharedAndOwnOutcomesWin()
    {
        DispatcherFixture owner(4);
        owner.warmUp();
        owner.failTarget("t2", AttemptOutcome::ConnectionLost);
        DispatcherFixture peer(4);
        for (const TargetVerdict &verdict : owner.dispatcher.verdicts(owner.now))
            peer.dispatcher.adoptVerdict(verdict, peer.now);
        CPPUNIT_ASSERT(peer.status("t2").ejected);
        CPPUNIT_ASSERT(!peer.status("t1").cold);
        const auto sent = std::get<Assignment>(peer.submit());
        CPPUNIT_ASSERT(sent.targetId != "t2");
        peer.end(sent, AttemptOutcome::Succeeded);
        peer.dispatcher.adoptVerdict({ .targetId = sent.targetId, .ejected = true }, peer.now);
        CPPUNIT_ASSERT(!peer.status(sent.targetId).ejected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetHealthTest);

} // namespace lycheebay
