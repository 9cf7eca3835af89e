#pragma once

#include "outcomes/crashsuspects.h"
#include "outcomes/outcometable.h"
#include "routing/celldispatcher.h"

#include <string>

namespace lycheebay {

/// Identity and location of this entry instance.
struct EntryIdentity
{
    std::string instanceId;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string failureDomain;
};

struct EntrySettings
{
    EntryIdentity self;
    DispatcherSettings dispatcher;
    OutcomeLimits outcomes;
    SuspectLimits suspects;
    Duration defaultDeadline = std::chrono::seconds(2);
    Duration maxDeadline = std::chrono::seconds(30);
    /// Time for which callers may cache an address answer.
    Duration addressTtl = std::chrono::seconds(5);
    /// Limit in bytes per second on traffic spilled to other regions, requests and responses
    /// together.
    double spillBytesPerSecond = 500'000;
    /// Number of threads in each of the two pools for hedged attempts and probes.
    std::size_t workers = 8;
    Duration probeTimeout = std::chrono::milliseconds(500);
    /// Time after a change of owner during which the cell's former owner may still send requests
    /// to cold targets: the lease of 2.5 s, plus one heartbeat to relay the change.
    Duration handoverWait = std::chrono::seconds(3);
    std::uint64_t seed = 0;
};

} // namespace lycheebay
