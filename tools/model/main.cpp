#include "base/settingsreader.h"
#include "estatemodel.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <iterator>

using namespace lycheebay;
using namespace lycheebay::model;

namespace {

constexpr int kExitUsage = 2;

struct Options
{
    std::string scenario;
    int seeds = 5;
    int firstSeed = 1;
};

nlohmann::json toJson(const ClassResult &it)
{
    const double asked = std::max(1, it.asked);
    return { { "asked", it.asked },
             { "in_time", it.inTime / asked },
             { "late", it.late / asked },
             { "refused", it.refused / asked },
             { "failed", it.failed / asked } };
}

nlohmann::json report(const Scenario &scenario, const Policy &policy, const Options &options)
{
    ClassResult total;
    std::map<std::string, ClassResult> classes;
    int crossed = 0;
    double least = 1;
    double most = 0;
    for (int i = 0; i < options.seeds; ++i) {
        const RunResult result =
                play(scenario, policy,
                     static_cast<std::uint64_t>(options.firstSeed) + static_cast<std::uint64_t>(i));
        const ClassResult sum = result.total();
        const double inTime = static_cast<double>(sum.inTime) / std::max(1, sum.asked);
        least = std::min(least, inTime);
        most = std::max(most, inTime);
        total += sum;
        crossed += result.crossed;
        for (const auto &[name, it] : result.classes)
            classes[name] += it;
    }
    nlohmann::json json = toJson(total);
    json["scenario"] = scenario.name;
    json["policy"] = policy.name;
    json["seeds"] = options.seeds;
    json["in_time_least"] = least;
    json["in_time_most"] = most;
    json["crossed"] = crossed / static_cast<double>(std::max(1, total.asked));
    for (const auto &[name, it] : classes)
        json["classes"][name] = toJson(it);
    return json;
}

std::vector<SettingEntry> entriesOf(Options &options)
{
    const auto number = [](const std::string &text, int &value) {
        value = std::atoi(text.c_str());
        return value >= 1 && value <= 1000;
    };
    return {
        { "scenario", "Scenario to play; all if empty", "a name", "", false,
          [&](const std::string &it) {
              options.scenario = it;
              return it.empty() || findScenario(it).has_value();
          } },
        { "seeds", "Number of runs for each policy", "1 to 1000", "5", false,
          [&, number](const std::string &it) { return number(it, options.seeds); } },
        { "seed", "Seed of the first run", "1 to 1000", "1", false,
          [&, number](const std::string &it) { return number(it, options.firstSeed); } },
    };
}

} // namespace

/// Plays scenarios to the gateway's decisions and prints one JSON line for each scenario and
/// policy.
int main(int argc, char **argv)
{
    Options options;
    const SettingsReading reading = readSettingValues(
            { "lycheebay-model", "plays load to the gateway's decisions", entriesOf(options) },
            { argv, argv + argc }, [](const char *name) { return std::getenv(name); });
    if (!reading.information.empty()) {
        std::cout << reading.information;
        return EXIT_SUCCESS;
    }
    for (const std::string &fault : reading.faults)
        std::cerr << "lycheebay-model: " << fault << '\n';
    if (!reading.faults.empty())
        return kExitUsage;
    for (const Scenario &scenario : builtInScenarios()) {
        if (!options.scenario.empty() && scenario.name != options.scenario)
            continue;
        for (const Policy &policy : comparedPolicies())
            std::cout << report(scenario, policy, options) << std::endl;
    }
    return EXIT_SUCCESS;
}
