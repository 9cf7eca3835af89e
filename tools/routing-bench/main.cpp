#include "cellrun.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <array>

namespace lycheebay {

namespace {

constexpr std::array kLoads{ 0.5, 0.7, 0.85, 0.95, 1.5 };
constexpr std::array kStrategies{ StrategyKind::SlotQueue, StrategyKind::RoundRobin,
                                  StrategyKind::Random, StrategyKind::LeastOutstanding,
                                  StrategyKind::TwoChoices };

void report(nlohmann::json &rows, const char *name, double load, const BenchSettings &settings,
            const BenchResult &result)
{
    const double share = result.goodput / settings.capacity();
    rows.push_back({ { "strategy", name },
                     { "load", load },
                     { "p50Ms", result.quantile(0.5) },
                     { "p99Ms", result.quantile(0.99) },
                     { "p999Ms", result.quantile(0.999) },
                     { "goodputShare", share },
                     { "sheds", result.sheds },
                     { "late", result.late },
                     { "hedges", result.hedges } });
}

void print(const nlohmann::json &rows)
{
    fmt::print("{:>5} {:18} {:>8} {:>8} {:>8} {:>8} {:>7} {:>6} {:>6}\n", "load", "strategy",
               "p50 ms", "p99 ms", "p999 ms", "goodput", "sheds", "late", "hedges");
    for (const auto &row : rows) {
        fmt::print("{:5.2f} {:18} {:8.1f} {:8.1f} {:8.1f} {:8.3f} {:7} {:6} {:6}\n",
                   row["load"].get<double>(), row["strategy"].get<std::string>(),
                   row["p50Ms"].get<double>(), row["p99Ms"].get<double>(),
                   row["p999Ms"].get<double>(), row["goodputShare"].get<double>(),
                   row["sheds"].get<std::size_t>(), row["late"].get<std::size_t>(),
                   row["hedges"].get<std::size_t>());
    }
}

nlohmann::json runAll(const BenchSettings &settings)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const double load : kLoads) {
        const Workload workload = makeWorkload(settings, load);
        Workload quiet = workload;
        for (auto &list : quiet.slowdowns)
            list.clear();
        report(rows, "bound-no-slowdown", load, settings, runCentralQueue(settings, quiet));
        report(rows, "bound", load, settings, runCentralQueue(settings, workload));
        for (const StrategyKind kind : kStrategies)
            report(rows, strategyName(kind), load, settings,
                   CellRun(settings, workload, kind).run());
    }
    return rows;
}

BenchSettings parse(int argc, char **argv, bool &json)
{
    BenchSettings settings;
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
    TCLAP::SwitchArg jsonArg("", "json", "print JSON", cmd);
    cmd.parse(argc, argv);
    settings.seed = seed.getValue();
    settings.targets = targets.getValue();
    settings.slots = slots.getValue();
    settings.delayMs = delay.getValue();
    settings.deadlineMs = deadline.getValue();
    settings.seconds = seconds.getValue();
    settings.logNormal = logNormal.getValue();
    settings.noisy = !quiet.getValue();
    settings.hedging = !noHedge.getValue();
    json = jsonArg.getValue();
    return settings;
}

} // namespace

} // namespace lycheebay

int main(int argc, char **argv)
{
    bool json = false;
    const auto settings = lycheebay::parse(argc, argv, json);
    const nlohmann::json rows = lycheebay::runAll(settings);
    if (json)
        fmt::print("{}\n", rows.dump(2));
    else
        lycheebay::print(rows);
    return 0;
}
