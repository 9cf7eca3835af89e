#pragma once

#include "base/iclock.h"
#include "estate/address.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheebay {

using RequestId = std::uint64_t;
using AttemptId = std::uint64_t;

/// What the dispatcher must know of a target; derived from the estate.
struct TargetSpec
{
    std::string id;
    Address address;
    int slots = 1;
    int coldLimit = 1;
    /// False while the target or its failure domain is drained, stopped as planned, or leaving.
    bool acceptsWork = true;

    auto operator<=>(const TargetSpec &) const = default;
};

/// What the dispatcher must know of a request.
struct RequestTraits
{
    /// A lookup 1, an order 2.
    int weight = 1;
    bool idempotent = true;
    TimePoint deadline;

    auto operator<=>(const RequestTraits &) const = default;
};

enum class TargetPhase { Cold, Warm, Draining };

/// A target's own report, carried in each of its responses. It is stale when it arrives and may be
/// wrong.
struct LoadReport
{
    int inFlight = 0;
    int slots = 0;
    TargetPhase phase = TargetPhase::Warm;
    /// Identifies one run of the target's process: a new value means a restart. 0 is ignored.
    std::uint64_t startId = 0;

    auto operator<=>(const LoadReport &) const = default;
};

/// How one attempt at a target ended.
enum class AttemptOutcome {
    Succeeded,      ///< a complete response with a status below 500
    Failed,         ///< a whole response, 500 or above
    Shed,           ///< the target said that it did not start the request
    NotConnected,   ///< no connection, so no byte was sent
    ConnectionLost, ///< the connection ended after bytes were sent and before the response was
                    ///< whole
    TimedOut,       ///< no whole response by the deadline
    Cancelled       ///< given up by this instance, for example the slower one of a hedged pair
};

struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::Succeeded;
    Duration latency{};
    std::optional<LoadReport> load;

    auto operator<=>(const AttemptResult &) const = default;
};

/// A request may be sent to a target now.
struct Assignment
{
    RequestId request = 0;
    AttemptId attempt = 0;
    std::string targetId;
    Address address;

    auto operator<=>(const Assignment &) const = default;
};

/// A request waits; a later call returns its Assignment or Shed.
struct Queued
{
    auto operator<=>(const Queued &) const = default;
};

enum class ShedReason {
    Overloaded,       ///< the estimated wait exceeds the deadline, or the queue is full
    DeadlineExceeded, ///< the deadline passed in the queue
    NoTarget,         ///< no target of the cell accepts work
    RetryBudget,      ///< a further attempt would exceed the retry budget
    Closed            ///< the dispatcher stops
};

/// A request is refused; nothing of it was sent by this decision.
struct Shed
{
    RequestId request = 0;
    ShedReason reason = ShedReason::Overloaded;
    Duration retryAfter{};

    auto operator<=>(const Shed &) const = default;
};

using Decision = std::variant<Assignment, Queued, Shed>;
/// The fate of requests that were queued.
using Resolution = std::variant<Assignment, Shed>;

/// A probe that is due.
struct Probe
{
    std::string targetId;
    Address address;

    auto operator<=>(const Probe &) const = default;
};

/// What a dispatcher concluded about a target; shared with peers of the region.
struct TargetVerdict
{
    std::string targetId;
    bool ejected = false;
    bool cold = false;
    bool draining = false;
    /// Remaining time until the next trial request of an ejected target.
    Duration nextTrialIn{};
    /// Ejections in a row, from which the back-off grows.
    int ejections = 0;

    auto operator<=>(const TargetVerdict &) const = default;
};

/// State of one target for the status page and metrics.
struct TargetStatus
{
    std::string id;
    Address address;
    int slots = 0;
    int limit = 0;
    int outstanding = 0;
    Duration recentLatency{};
    bool acceptsWork = true;
    bool cold = false;
    bool ejected = false;
    bool draining = false;
    /// Why the target gets less than its slots, in words; empty when nothing is wrong.
    std::string reason;
    std::uint64_t probes = 0;

    auto operator<=>(const TargetStatus &) const = default;
};

} // namespace lycheebay
