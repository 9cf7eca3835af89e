#include "cellrun.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

using namespace lycheebay;

namespace {

constexpr std::array kLoads{ 0.5, 0.7, 0.85, 0.95, 1.5 };
constexpr std::array kStrategies{ StrategyKind::SlotQueue, StrategyKind::RoundRobin,
                                  StrategyKind::Random, StrategyKind::LeastOutstanding,
                                  StrategyKind::TwoChoices };

void report(const BenchSettings &settings, double load, const char *name, const BenchResult &result)
{
    const auto good = static_cast<double>(result.latenciesMs.size() - result.late);
    const double goodput = good / settings.seconds / settings.capacity();
    const double p50 = result.quantile(0.5);
    const double p99 = result.quantile(0.99);
    const double p999 = result.quantile(0.999);
    if (!settings.json) {
        fmt::print("{:5.2f} {:18} {:8.1f} {:8.1f} {:8.1f} {:8.3f} {:7} {:6} {:6} {:7}\n", load,
                   name, p50, p99, p999, goodput, result.sheds, result.late, result.hedges,
                   result.ejectedTicks);
        return;
    }
    const nlohmann::json row{ { "load", load },
                              { "strategy", name },
                              { "p50Ms", p50 },
                              { "p99Ms", p99 },
                              { "p999Ms", p999 },
                              { "goodput", goodput },
                              { "late", result.late },
                              { "sheds", result.sheds },
                              { "hedges", result.hedges },
                              { "ejectedTicks", result.ejectedTicks } };
    fmt::print("{}\n", row.dump());
}

struct Selection
{
    std::vector<double> loads;
    std::vector<StrategyKind> strategies;
};

std::vector<StrategyKind> parseStrategies(const std::vector<std::string> &names)
{
    std::vector<StrategyKind> kinds;
    for (const std::string &name : names) {
        const std::optional<StrategyKind> kind = parseStrategy(name);
        if (!kind)
            throw TCLAP::ArgException("unknown strategy " + name, "strategy");
        kinds.push_back(*kind);
    }
    return kinds;
}

BenchSettings parse(int argc, char **argv, Selection &selection)
{
    TCLAP::CmdLine cmd("Measures the decisions of every dispatch strategy.", ' ', "1");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "random seed", false, 1, "number", cmd);
    TCLAP::ValueArg<int> targets("", "targets", "targets", false, 16, "number", cmd);
    TCLAP::ValueArg<int> slots("", "slots", "slots per target", false, 4, "number", cmd);
    TCLAP::ValueArg<double> delay("", "delay-ms", "one-way delay", false, 0.1, "ms", cmd);
    TCLAP::ValueArg<double> deadline("", "deadline-ms", "deadline", false, 500, "ms", cmd);
    TCLAP::ValueArg<double> seconds("", "seconds", "measured time", false, 20, "s", cmd);
    TCLAP::SwitchArg logNormal("", "log-normal", "log-normal service times", cmd);
    TCLAP::SwitchArg quiet("", "quiet", "no slowed targets", cmd);
    TCLAP::SwitchArg noHedge("", "no-hedge", "no hedged attempts", cmd);
    TCLAP::SwitchArg json("", "json", "one JSON object per line", cmd);
    TCLAP::MultiArg<double> loads("", "load", "share of the capacity (default: several)", false,
                                  "number", cmd);
    TCLAP::MultiArg<std::string> strategies("", "strategy", "strategy (default: all)", false,
                                            "name", cmd);
    cmd.parse(argc, argv);
    selection.loads = loads.getValue();
    if (selection.loads.empty())
        selection.loads.assign(kLoads.begin(), kLoads.end());
    try {
        selection.strategies = parseStrategies(strategies.getValue());
    } catch (TCLAP::ArgException &error) {
        cmd.getOutput()->failure(cmd, error);
    }
    if (selection.strategies.empty())
        selection.strategies.assign(kStrategies.begin(), kStrategies.end());
    return { seed.getValue(),     targets.getValue(), slots.getValue(),     delay.getValue(),
             deadline.getValue(), seconds.getValue(), logNormal.getValue(), !quiet.getValue(),
             !noHedge.getValue(), json.getValue() };
}

} // namespace

int main(int argc, char **argv)
{
    Selection selection;
    const BenchSettings settings = parse(argc, argv, selection);
    if (!settings.json)
        fmt::print(" load strategy             p50 ms   p99 ms  p999 ms  goodput   sheds   late "
                   "hedges ejected\n");
    for (const double load : selection.loads) {
        const Workload workload = makeWorkload(settings, load);
        Workload quiet = workload;
        quiet.slowdowns.assign(workload.slowdowns.size(), {});
        report(settings, load, "bound-no-slowdown", runCentralQueue(settings, quiet));
        report(settings, load, "bound", runCentralQueue(settings, workload));
        for (const StrategyKind kind : selection.strategies)
            report(settings, load, strategyName(kind), CellRun(settings, workload, kind).run());
    }
    return 0;
}
