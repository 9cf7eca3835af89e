#pragma once

#include "scenario.h"

#include <map>
#include <string>

namespace lycheebay::model {

/// Which of the gateway's decisions a run uses.
struct Policy
{
    enum class Addresses {
        HomeRegion, ///< all callers of a host go to the home regions of its routes
        Adaptive,   ///< the share of RegionSpillover stays in its region
        OwnRegion,  ///< callers stay in their region
    };

    std::string name;
    Addresses addresses = Addresses::Adaptive;
    /// Requests without room are forwarded to other dispatchers.
    bool forwards = true;
    /// Requests are offered to other dispatchers before their queue is full.
    bool leavesEarly = true;
    /// One dispatcher without delays owns every target; the bound to compare with.
    bool oneQueue = false;
};

/// The policies that reports compare: the gateway's own, its parts, and one queue.
std::vector<Policy> comparedPolicies();

/// What callers of one class of requests got.
struct ClassResult
{
    int asked = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    /// Refused again after the caller came back as told; included in refused.
    int refusedTwice = 0;
    int failed = 0;

    ClassResult &operator+=(const ClassResult &other);
};

struct RunResult
{
    std::map<std::string, ClassResult> classes;
    /// Requests that crossed the link between regions on their way to a target.
    int crossed = 0;
    /// Largest number of requests that one target had at a time, with its queue.
    int mostAtATarget = 0;

    ClassResult total() const;
};

/// Plays a scenario on a simulated clock to the decisions that the gateway ships: ServicePool,
/// DispatcherSelector, RegionSpillover and the dispatch plan. Targets have slots, a queue and slow
/// spells; callers keep address answers, give up at their deadline and come back once after a
/// refusal. The same seed gives the same result. Thread-safe.
RunResult play(const Scenario &scenario, const Policy &policy, std::uint64_t seed);

} // namespace lycheebay::model
