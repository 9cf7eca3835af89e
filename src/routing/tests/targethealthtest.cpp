#include "dispatcherfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace lycheebay {

class TargetHealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetHealthTest);
    CPPUNIT_TEST(coldTargetStartsAtItsColdLimitAndRampsUp);
    CPPUNIT_TEST(signsOfAColdStartResetTheLimit);
    CPPUNIT_TEST(drainingTargetGetsNoRequests);
    CPPUNIT_TEST(returnedTargetStartsCold);
    CPPUNIT_TEST(failFastTargetIsEjectedAndTriedWithBackOff);
    CPPUNIT_TEST(targetThatHangsOnOneInThreeIsEjected);
    CPPUNIT_TEST(atMostHalfIsEjectedTheWorstFirst);
    CPPUNIT_TEST(shedReducesTheLimitBriefly);
    CPPUNIT_TEST(slowTargetIsAvoidedBeforeItResponds);
    CPPUNIT_TEST(wrongReportLeavesHalfOfTheSlots);
    CPPUNIT_TEST(probesStayWithinTheBudget);
    CPPUNIT_TEST(verdictsAreSharedAndOwnOutcomesTakePrecedence);
    CPPUNIT_TEST_SUITE_END();

public:
    void coldTargetStartsAtItsColdLimitAndRampsUp()
    {
        DispatcherFixture cell(1, 3);
        auto sent = std::get<Assignment>(cell.submit());
        CPPUNIT_ASSERT(std::holds_alternative<Queued>(cell.submit()));
        cell.complete(sent, AttemptOutcome::Succeeded);
        CPPUNIT_ASSERT_EQUAL(2, cell.status("t0").limit);
        CPPUNIT_ASSERT(!cell.status("t0").cold);
    }

    // Guards against full load on a target that restarted unannounced.
    void signsOfAColdStartResetTheLimit()
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
            cell.complete(sent, outcome, 10ms, load);
            return cell.status("t0").limit;
        };
        CPPUNIT_ASSERT_EQUAL(4, limitAfter(AttemptOutcome::Succeeded, warm));
        CPPUNIT_ASSERT_EQUAL(1, limitAfter(AttemptOutcome::NotConnected, {}));
        CPPUNIT_ASSERT_EQUAL(1, limitAfter(AttemptOutcome::ConnectionLost, {}));
        CPPUNIT_ASSERT_EQUAL(1, limitAfter(AttemptOutcome::Succeeded, cold));
        const int afterRestart = limitAfter(AttemptOutcome::Succeeded, restarted);
        CPPUNIT_ASSERT(afterRestart <= 2);
    }

    void drainingTargetGetsNoRequests()
    {
        DispatcherFixture cell(1);
        cell.warmUp();
        const auto sent = std::get<Assignment>(cell.submit());
        cell.submit();
        cell.complete(sent, AttemptOutcome::Succeeded, 10ms,
                      LoadReport{ 0, 4, TargetPhase::Draining, 5 });
        CPPUNIT_ASSERT(std::get<Shed>(cell.submit()).reason == ShedReason::NoTarget);
        const LoadReport lagging{ 0, 4, TargetPhase::Warm, 5 };
        cell.dispatcher.completeProbe("t0", lagging, cell.now + 1s);
        CPPUNIT_ASSERT(cell.status("t0").draining);
        cell.dispatcher.completeProbe("t0", LoadReport{ 0, 4, TargetPhase::Warm, 6 }, cell.now);
        CPPUNIT_ASSERT(!cell.status("t0").draining);
        CPPUNIT_ASSERT(cell.status("t0").cold);
    }

    // Guards against full load (a thundering herd) on a failure domain that returns cold.
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
        // The other request was sent to the warm target beyond its slots.
        CPPUNIT_ASSERT_EQUAL(5, cell.status("t1").outstanding);
    }

    // Guards against black-holing: a target that attracts load because it returns errors quickly.
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
            cell.complete(sent, AttemptOutcome::Succeeded);
            cell.now += 100ms;
            sent = std::get<Assignment>(cell.submit());
            CPPUNIT_ASSERT_EQUAL(std::string("t2"), sent.targetId);
            cell.complete(sent, AttemptOutcome::Failed, 1ms);
        }
        cell.now += 5min;
        const auto sent = std::get<Assignment>(cell.submit());
        cell.complete(sent, AttemptOutcome::Succeeded);
        CPPUNIT_ASSERT(!cell.status("t2").ejected);
        CPPUNIT_ASSERT_EQUAL(1, cell.status("t2").limit);
    }

    // Guards against a partly hanging target whose successes hide its failures.
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
                cell.complete(sent, AttemptOutcome::TimedOut, 1s);
            else
                cell.complete(sent, AttemptOutcome::Succeeded);
        }
        CPPUNIT_ASSERT(cell.status("t1").ejected);
    }

    // Guards against a cell that is left without targets after a failure domain fails.
    void atMostHalfIsEjectedTheWorstFirst()
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
                cell.complete(*sent,
                              fails ? AttemptOutcome::ConnectionLost : AttemptOutcome::Succeeded);
            }
            const auto all = cell.dispatcher.status(cell.now);
            CPPUNIT_ASSERT(std::ranges::count(all, true, &TargetStatus::ejected) <= 2);
            CPPUNIT_ASSERT(!cell.status("t3").ejected);
        }
    }

    // Guards against ejecting a target that sheds requests because it is full.
    void shedReducesTheLimitBriefly()
    {
        DispatcherFixture cell(1, 4);
        cell.warmUp();
        for (int i = 0; i < 3; ++i)
            cell.submit();
        const auto sent = std::get<Assignment>(cell.submit());
        cell.complete(sent, AttemptOutcome::Shed, 1ms);
        CPPUNIT_ASSERT(std::holds_alternative<Queued>(cell.submit()));
        CPPUNIT_ASSERT(!cell.status("t0").ejected);
        const auto resolved = cell.dispatcher.tick(cell.now + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, resolved.size());
    }

    // Guards against sending requests to a slow target until its first slow response arrives.
    void slowTargetIsAvoidedBeforeItResponds()
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
                cell.complete(assignment, AttemptOutcome::Succeeded);
            if (i < 4)
                continue;
            CPPUNIT_ASSERT(std::ranges::find(sent, stuck.targetId, &Assignment::targetId)
                           == sent.end());
        }
        cell.complete(stuck, AttemptOutcome::Succeeded, 160ms);
        cell.now += 500ms;
        int returned = 0;
        for (int k = 0; k < 32; ++k)
            returned += std::get<Assignment>(cell.submit()).targetId == stuck.targetId;
        CPPUNIT_ASSERT(returned > 0);
    }

    void wrongReportLeavesHalfOfTheSlots()
    {
        DispatcherFixture cell(1, 4);
        cell.warmUp();
        const LoadReport wrong{ 1000, 4, TargetPhase::Warm, 1 };
        for (int i = 0; i < 5; ++i)
            cell.complete(std::get<Assignment>(cell.submit()), AttemptOutcome::Succeeded, 10ms,
                          wrong);
        CPPUNIT_ASSERT(std::holds_alternative<Assignment>(cell.submit()));
        CPPUNIT_ASSERT(std::holds_alternative<Assignment>(cell.submit()));
        CPPUNIT_ASSERT(std::holds_alternative<Queued>(cell.submit()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, cell.dispatcher.tick(cell.now + 300ms).size());
    }

    // Guards against probes that take more of a target's slot time than their budget.
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

    void verdictsAreSharedAndOwnOutcomesTakePrecedence()
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
        peer.complete(sent, AttemptOutcome::Succeeded);
        peer.dispatcher.adoptVerdict({ .targetId = sent.targetId, .ejected = true }, peer.now);
        CPPUNIT_ASSERT(!peer.status(sent.targetId).ejected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetHealthTest);

} // namespace lycheebay
