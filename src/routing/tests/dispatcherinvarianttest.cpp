#include "dispatcherfixture.h"

#include "base/invariant.h"
#include "base/seededrandom.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>

namespace lycheebay {

namespace {

std::uint64_t testSeed()
{
    const char *text = std::getenv("LYCHEEBAY_TEST_SEED");
    return text ? std::strtoull(text, nullptr, 10) : systemRandomBits() % 1'000'000;
}

constexpr std::array kStrategies{ StrategyKind::SlotQueue, StrategyKind::RoundRobin,
                                  StrategyKind::Random, StrategyKind::LeastOutstanding,
                                  StrategyKind::TwoChoices };

/// Makes random calls to a dispatcher and checks its invariants through the public interface.
class RandomDriver
{
public:
    RandomDriver(std::uint64_t seed, StrategyKind kind)
        : m_random(seed)
        , m_cell(static_cast<int>(m_random.below(9)) + 1, static_cast<int>(m_random.below(4)) + 1,
                 { .strategy = kind, .maxQueued = 20 })
        , m_kind(kind)
    {}

    void step()
    {
        m_cell.now += std::chrono::microseconds(m_random.below(8000));
        const std::uint64_t action = m_random.below(100);
        if (action < 40)
            submit();
        else if (action < 80)
            complete();
        else if (action < 90)
            accept(m_cell.dispatcher.tick(m_cell.now));
        else if (action < 95)
            hedge();
        else if (action < 97)
            probe();
        else if (action < 99)
            changeTargets();
        else
            changeRole();
        check();
    }

private:
    void submit()
    {
        const int weight = m_random.below(4) == 0 ? 2 : 1;
        const Duration deadline = std::chrono::milliseconds(m_random.below(400));
        accept(m_cell.submit(weight, deadline, m_random.below(3) != 0));
    }

    void complete()
    {
        if (m_running.empty())
            return;
        auto it = m_running.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(m_random.below(m_running.size())));
        const Assignment ended = it->second;
        m_running.erase(it);
        const auto outcome =
                static_cast<AttemptOutcome>(m_random.below(2) == 0 ? 0 : m_random.below(7));
        const Duration latency = std::chrono::milliseconds(m_random.below(60));
        accept(m_cell.complete(ended, outcome, latency, report()));
        const bool open = std::ranges::any_of(m_running, [&](const auto &entry) {
            return entry.second.request == ended.request;
        });
        if (open)
            return;
        if (outcome == AttemptOutcome::NotConnected)
            accept(m_cell.dispatcher.retry(ended.request, m_cell.now));
        else
            m_cell.dispatcher.finish(ended.request);
    }

    std::optional<LoadReport> report()
    {
        if (m_random.below(3) == 0)
            return std::nullopt;
        const std::uint64_t kind = m_random.below(30);
        const TargetPhase phase = kind == 0  ? TargetPhase::Draining
                                  : kind < 3 ? TargetPhase::Cold
                                             : TargetPhase::Warm;
        const std::uint64_t start = m_random.below(40) == 0 ? 2 : 1;
        return LoadReport{ static_cast<int>(m_random.below(6)), 4, phase, start };
    }

    void hedge()
    {
        if (m_running.empty())
            return;
        const RequestId request = m_running.begin()->second.request;
        if (const auto second = m_cell.dispatcher.hedge(request, m_cell.now))
            accept(Resolution(*second));
    }

    void probe()
    {
        for (const Probe &due : m_cell.dispatcher.dueProbes(m_cell.now))
            accept(m_cell.dispatcher.completeProbe(due.targetId, report(), m_cell.now));
    }

    void changeTargets()
    {
        std::vector<TargetSpec> specs;
        for (const TargetSpec &spec : m_cell.specs) {
            if (m_random.below(6) == 0)
                continue;
            specs.push_back(spec);
            specs.back().acceptsWork = m_random.below(5) != 0;
        }
        accept(m_cell.dispatcher.updateTargets(specs, m_cell.now));
    }

    void changeRole()
    {
        const bool owner = m_random.below(3) != 0;
        m_role = owner ? DispatchRole::Owner : DispatchRole::Fallback;
        const TimePoint coldFrom = m_cell.now + std::chrono::milliseconds(m_random.below(300));
        accept(m_cell.dispatcher.setRole(m_role, coldFrom, m_cell.now));
    }

    void accept(const std::vector<Resolution> &resolutions)
    {
        for (const Resolution &resolution : resolutions)
            accept(resolution);
    }

    void accept(const Decision &decision)
    {
        if (const auto *sent = std::get_if<Assignment>(&decision))
            accept(Resolution(*sent));
        else if (const auto *shed = std::get_if<Shed>(&decision))
            accept(Resolution(*shed));
    }

    void accept(const Resolution &resolution)
    {
        if (const auto *shed = std::get_if<Shed>(&resolution)) {
            m_cell.dispatcher.finish(shed->request);
            return;
        }
        const Assignment &sent = std::get<Assignment>(resolution);
        CPPUNIT_ASSERT_MESSAGE("an attempt id was used twice",
                               m_running.emplace(sent.attempt, sent).second);
        const TargetStatus status = m_cell.status(sent.targetId);
        CPPUNIT_ASSERT(status.acceptsWork);
        CPPUNIT_ASSERT(!status.draining);
        if (m_kind == StrategyKind::SlotQueue && status.outstanding > status.slots) {
            CPPUNIT_ASSERT(m_role == DispatchRole::Owner);
            CPPUNIT_ASSERT(!status.cold && !status.ejected);
            CPPUNIT_ASSERT_EQUAL(status.slots, status.limit);
        }
    }

    void check() const
    {
        std::size_t ejected = 0;
        std::size_t usable = 0;
        for (const TargetStatus &status : m_cell.dispatcher.status(m_cell.now)) {
            const auto running = std::ranges::count_if(m_running, [&](const auto &entry) {
                return entry.second.targetId == status.id;
            });
            CPPUNIT_ASSERT_EQUAL(static_cast<int>(running), status.outstanding);
            if (m_kind == StrategyKind::SlotQueue)
                CPPUNIT_ASSERT(status.outstanding <= status.slots + 1);
            usable += status.acceptsWork && !status.draining;
            ejected += status.acceptsWork && !status.draining && status.ejected;
        }
        CPPUNIT_ASSERT(2 * ejected <= usable);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, invariantViolations());
    }

    SeededRandom m_random;
    DispatcherFixture m_cell;
    StrategyKind m_kind;
    DispatchRole m_role = DispatchRole::Owner;
    std::map<AttemptId, Assignment> m_running;
};

} // namespace

class DispatcherInvariantTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatcherInvariantTest);
    CPPUNIT_TEST(randomCallsKeepTheInvariants);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against sequences of calls and load reports that break a limit of the dispatcher.
    void randomCallsKeepTheInvariants()
    {
        constexpr int kRuns = 60;
        constexpr int kSteps = 1500;
        const std::uint64_t seed = testSeed();
        std::cout << "LYCHEEBAY_TEST_SEED=" << seed << std::endl;
        for (std::uint64_t run = 0; run < kRuns; ++run) {
            RandomDriver driver(seed + run, kStrategies[run % kStrategies.size()]);
            for (int step = 0; step < kSteps; ++step)
                driver.step();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherInvariantTest);

} // namespace lycheebay
