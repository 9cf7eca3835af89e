// Measures how the cost of each role grows with its size, for docs/CAPACITY.md.

#include "base/seededrandom.h"
#include "configuration/changeapplier.h"
#include "estate/sheet.h"
#include "membership/cellplan.h"
#include "outcomes/outcometable.h"
#include "routing/celldispatcher.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <malloc.h>

namespace {

using namespace lycheebay;

constexpr std::int64_t kTargetsPerService = 7;

EstateData estateOf(std::int64_t targets)
{
    EstateData data;
    data.regions = { "r" };
    data.failureDomains = { { "d", "r", false } };
    for (std::int64_t i = 0; i < targets; ++i) {
        const std::string service = fmt::format("s{}", i / kTargetsPerService);
        if (i % kTargetsPerService == 0) {
            data.services.push_back(service);
            data.routes.push_back({ service, "*", "/", true, 1, {} });
        }
        const Address address{
            fmt::format("127.{}.{}.{}", i / 65025 + 1, i / 255 % 255, i % 255 + 1), 9000
        };
        data.targets.push_back({ fmt::format("t{}", i), service, "d", address, 3, 1, 250, false });
    }
    return data;
}

Change changeOf(ChangeBody body, Revision base)
{
    static std::uint64_t number = 0;
    Change change;
    change.id = fmt::format("c{}", ++number);
    change.author = "bench";
    change.time = WallTime(std::chrono::milliseconds(1'700'000'000'000));
    change.baseRevision = base;
    change.body = std::move(body);
    return change;
}

IntrusivePtr<const ConfigurationState> stateOf(std::int64_t targets)
{
    ChangeApplier applier{ ConfigurationState() };
    applier.apply({ 1, *encodeChange(changeOf(SheetBody{ estateOf(targets), {} }, 0)) });
    return applier.state();
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

void applyDrain(benchmark::State &run)
{
    const auto state = stateOf(run.range(0));
    const std::string record = *encodeChange(changeOf(DrainDomainBody{ "d" }, state->revision()));
    for (auto _ : run) {
        ChangeApplier applier(*state);
        applier.apply({ state->nextOffset(), record });
        benchmark::DoNotOptimize(applier.state());
    }
    run.counters["record_bytes"] = static_cast<double>(record.size());
}

void applySheet(benchmark::State &run)
{
    const std::string record = *encodeChange(changeOf(SheetBody{ estateOf(run.range(0)), {} }, 0));
    for (auto _ : run) {
        ChangeApplier applier{ ConfigurationState() };
        applier.apply({ 1, record });
        benchmark::DoNotOptimize(applier.state());
    }
    run.counters["record_bytes"] = static_cast<double>(record.size());
}

void encodeSnapshot(benchmark::State &run)
{
    const auto state = stateOf(run.range(0));
    std::size_t bytes = 0;
    for (auto _ : run)
        bytes = encodeChange(changeOf(ChangeApplier::snapshotOf(*state), state->revision()))
                        ->size();
    run.counters["record_bytes"] = static_cast<double>(bytes);
}

void holdConfiguration(benchmark::State &run)
{
    std::size_t bytes = 0;
    for (auto _ : run) {
        const std::size_t before = heapBytes();
        const auto state = stateOf(run.range(0));
        bytes = heapBytes() - before;
    }
    run.counters["held_bytes"] = static_cast<double>(bytes);
}

void planDispatcher(benchmark::State &run)
{
    std::vector<Member> members;
    for (std::int64_t i = 0; i < run.range(0); ++i) {
        Member member;
        member.identity.instanceId = fmt::format("entry-{}", i);
        member.identity.incarnation = static_cast<std::uint64_t>(i + 1);
        member.identity.region = "r";
        members.push_back(member);
    }
    const CellPlan plan(members);
    for (auto _ : run)
        benchmark::DoNotOptimize(plan.dispatcher("service", "r"));
}

void beginAndCompleteKey(benchmark::State &run)
{
    OutcomeLimits limits;
    limits.maxEntries = 10'000'000;
    limits.maxBytes = std::size_t(4) << 30;
    OutcomeTable table(limits, 1);
    const TimePoint now(std::chrono::hours(1));
    const auto response = std::make_shared<const HttpResponse>(HttpResponse{ 200, {}, "ok" });
    std::uint64_t next = 0;
    const auto runOne = [&] {
        IdempotencyKey key;
        key.ticket = { 1, now, ++next };
        key.text = fmt::format("{}~{}", formatTicket(key.ticket), next);
        benchmark::DoNotOptimize(table.begin(key, { next, next }, now));
        table.completeDone(key.text, response);
    };
    const std::size_t before = heapBytes();
    for (std::int64_t i = 0; i < run.range(0); ++i)
        runOne();
    run.counters["held_bytes"] = static_cast<double>(heapBytes() - before);
    for (auto _ : run)
        runOne();
}

void dispatchRequest(benchmark::State &run)
{
    CellDispatcher dispatcher({}, 1);
    TimePoint now(std::chrono::hours(1));
    std::vector<TargetSpec> targets;
    for (std::int64_t i = 0; i < run.range(0); ++i)
        targets.push_back({ fmt::format("t{}", i), { "127.0.0.1", 9000 }, 3, 3, true });
    dispatcher.updateTargets(targets, now);
    dispatcher.setRole(DispatchRole::Owner, now, now);
    RequestId request = 0;
    for (auto _ : run) {
        now += std::chrono::microseconds(100);
        const Decision decision =
                dispatcher.submit(++request, { 1, true, now + std::chrono::seconds(2) }, now);
        if (const auto *assignment = std::get_if<Assignment>(&decision)) {
            const LoadReport load{ 1, 3, TargetPhase::Warm, 1 };
            dispatcher.complete(assignment->attempt,
                                { AttemptOutcome::Succeeded, std::chrono::milliseconds(5), load },
                                now);
        }
        dispatcher.finish(request);
    }
}

void dispatcherTick(benchmark::State &run)
{
    CellDispatcher dispatcher({}, 1);
    TimePoint now(std::chrono::hours(1));
    std::vector<TargetSpec> targets;
    for (std::int64_t i = 0; i < run.range(0); ++i)
        targets.push_back({ fmt::format("t{}", i), { "127.0.0.1", 9000 }, 3, 3, true });
    dispatcher.updateTargets(targets, now);
    dispatcher.setRole(DispatchRole::Owner, now, now);
    for (auto _ : run) {
        now += std::chrono::milliseconds(100);
        benchmark::DoNotOptimize(dispatcher.dueProbes(now));
        benchmark::DoNotOptimize(dispatcher.verdicts(now));
    }
}

BENCHMARK(applyDrain)->Arg(200)->Arg(2000)->Arg(20000)->Unit(benchmark::kMillisecond);
BENCHMARK(applySheet)->Arg(200)->Arg(2000)->Arg(20000)->Unit(benchmark::kMillisecond);
BENCHMARK(encodeSnapshot)->Arg(200)->Arg(2000)->Arg(20000)->Unit(benchmark::kMillisecond);
BENCHMARK(holdConfiguration)->Arg(200)->Arg(2000)->Arg(20000)->Iterations(1);
BENCHMARK(planDispatcher)->Arg(9)->Arg(100)->Arg(1000);
BENCHMARK(beginAndCompleteKey)->Arg(1000)->Arg(10000)->Arg(100000);
BENCHMARK(dispatchRequest)->Arg(8)->Arg(64)->Arg(512);
BENCHMARK(dispatcherTick)->Arg(8)->Arg(64)->Arg(512);

} // namespace

BENCHMARK_MAIN();
