#include "scenario.h"

#include <algorithm>

namespace lycheebay::model {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<Domain> twoRegions(int targets, double requestsPerSecond)
{
    return { { "a1", "a", 5, targets, requestsPerSecond },
             { "a2", "a", 5, targets, requestsPerSecond },
             { "b1", "b", 5, targets, requestsPerSecond },
             { "b2", "b", 5, targets, requestsPerSecond } };
}

/// A lookup that any region may serve and an order that only \a homes may serve.
std::vector<RequestClass> lookupAndOrder(const std::vector<std::string> &homes)
{
    return { { "lookup", 0.8, milliseconds(60), milliseconds(200), milliseconds(1000), {}, 2 },
             { "order", 0.2, milliseconds(78), milliseconds(250), milliseconds(1200), homes, 1 } };
}

Scenario usual(const std::string &name)
{
    Scenario it;
    it.name = name;
    it.domains = twoRegions(10, 75);
    it.classes = lookupAndOrder({ "a" });
    return it;
}

} // namespace

std::vector<Scenario> builtInScenarios()
{
    std::vector<Scenario> all;
    all.push_back(usual("calm"));
    all.back().domains = twoRegions(10, 40);

    all.push_back(usual("burst"));
    all.back().bursts = { { seconds(5), seconds(15), 1.8 } };

    all.push_back(usual("drained-home"));
    all.back().drains = { { "a1", seconds(5), seconds(18) } };

    all.push_back(usual("three-regions"));
    all.back().domains = { { "a1", "a", 5, 12, 60 },
                           { "b1", "b", 5, 12, 60 },
                           { "c1", "c", 3, 6, 40 } };
    all.back().classes = lookupAndOrder({ "c" });
    all.back().bursts = { { seconds(5), seconds(15), 1.5 } };

    all.push_back(usual("no-homes"));
    all.back().classes = lookupAndOrder({});
    all.back().bursts = { { seconds(5), seconds(15), 1.8 } };

    all.push_back(usual("one-slot"));
    all.back().slots = 1;
    all.back().domains = twoRegions(30, 75);
    all.back().bursts = { { seconds(5), seconds(15), 1.6 } };

    all.push_back(usual("many-slots"));
    all.back().slots = 32;
    all.back().domains = twoRegions(2, 140);
    all.back().bursts = { { seconds(5), seconds(15), 1.8 } };

    all.push_back(usual("slow-link"));
    all.back().regionDelay = milliseconds(60);
    all.back().bursts = { { seconds(5), seconds(15), 1.8 } };
    return all;
}

std::optional<Scenario> findScenario(const std::string &name)
{
    const std::vector<Scenario> all = builtInScenarios();
    const auto it = std::find_if(all.begin(), all.end(),
                                 [&](const Scenario &scenario) { return scenario.name == name; });
    return it == all.end() ? std::nullopt : std::optional(*it);
}

} // namespace lycheebay::model
