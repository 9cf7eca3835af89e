#pragma once

#include "base/iclock.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheebay::model {

/// A kind of request that callers send.
struct RequestClass
{
    std::string name;
    /// Share of all requests.
    double share = 1;
    /// Mean service time on a target at its usual speed.
    Duration work = std::chrono::milliseconds(60);
    Duration targetLatency = std::chrono::milliseconds(200);
    Duration deadline = std::chrono::milliseconds(1000);
    /// Regions that may serve the requests; empty means all.
    std::vector<std::string> homeRegions;
    int priority = 1;
};

/// A failure domain with its instances, targets and callers.
struct Domain
{
    std::string name;
    std::string region;
    int instances = 5;
    int targets = 10;
    double requestsPerSecond = 50;
};

/// A time in which callers send more than usual.
struct Burst
{
    Duration from{};
    Duration to{};
    double factor = 1;
};

/// A time in which a failure domain is drained.
struct Drain
{
    std::string domain;
    Duration from{};
    Duration to{};
};

/// An estate and the load that is played to it.
struct Scenario
{
    std::string name;
    std::vector<Domain> domains;
    std::vector<RequestClass> classes;
    std::vector<Burst> bursts;
    std::vector<Drain> drains;
    Duration length = std::chrono::seconds(30);
    /// Requests that a target runs at a time, and queues beyond that.
    int slots = 3;
    int targetQueue = 6;
    /// Share of the time in which a target is slowed by its neighbours, by which factor, and for
    /// how long at a time.
    double slowShare = 0.25;
    double slowFactor = 4;
    Duration slowSpell = std::chrono::milliseconds(300);
    /// Delays one way.
    Duration callerDelay = std::chrono::milliseconds(1);
    Duration domainDelay = std::chrono::microseconds(1400);
    Duration regionDelay = std::chrono::milliseconds(8);
    /// Lifetime of address answers; callers keep them for one to three times as long.
    Duration answerLifetime = std::chrono::milliseconds(1500);
};

/// The estates that tests and reports play, by name. They differ in the number of regions, the
/// place of home regions, the number of services' classes, the slots of targets and the delays.
std::vector<Scenario> builtInScenarios();

/// Returns the scenario with this name, or null.
std::optional<Scenario> findScenario(const std::string &name);

} // namespace lycheebay::model
