#pragma once

#include "outcomes/crashsuspects.h"
#include "outcomes/outcometable.h"
#include "routing/celldispatcher.h"

#include <string>

namespace lycheebay {

/// Who this instance is.
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
    /// Time for which callers may keep an address answer.
    Duration addressTtl = std::chrono::seconds(5);
    /// Bytes per second, requests and responses together, that may go to other regions.
    double spillBytesPerSecond = 500'000;
    /// Threads that run hedged attempts and probes.
    std::size_t workers = 8;
    Duration probeTimeout = std::chrono::milliseconds(500);
    /// Time after a change of owner in which a cell's former owner may still send to cold targets:
    /// the lease of 2.5 s and a heartbeat for the relay of the change.
    Duration handoverWait = std::chrono::seconds(3);
    std::uint64_t seed = 0;
};

} // namespace lycheebay
