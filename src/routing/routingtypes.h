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

/// A target as the dispatcher sees it; derived from the estate.
struct TargetSpec
{
    std::string id;
    Address address;
    int slots = 1;
    int coldLimit = 1;
    /// False while the target or its failure domain is drained, in a planned stop, or leaving.
    bool acceptsWork = true;

    auto operator<=>(const TargetSpec &) const = default;
};

/// The properties of a request on which dispatching depends.
struct RequestTraits
{
    /// Priority: 1 for a lookup, 2 for an order.
    int weight = 1;
    bool idempotent = true;
    TimePoint deadline;

    auto operator<=>(const RequestTraits &) const = default;
};

enum class TargetPhase { Cold, Warm, Draining };

/// Load that a target reports in each of its responses. It is out of date when it arrives and may
/// be wrong.
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
    Failed,         ///< a complete response with a status of 500 or above
    Shed,           ///< the target reported that it did not start the request
    NotConnected,   ///< no connection, so no byte was sent
    ConnectionLost, ///< the connection ended after bytes were sent and before the response was
                    ///< complete
    TimedOut,       ///< no complete response by the deadline
    Cancelled       ///< abandoned by this instance, for example the slower of two hedged attempts
};

struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::Succeeded;
    Duration latency{};
    std::optional<LoadReport> load;

    auto operator<=>(const AttemptResult &) const = default;
};

/// Decision to send a request to a target now.
struct Assignment
{
    RequestId request = 0;
    AttemptId attempt = 0;
    std::string targetId;
    Address address;

    auto operator<=>(const Assignment &) const = default;
};

/// The request was queued; a later call returns its Assignment or Shed.
struct Queued
{
    auto operator<=>(const Queued &) const = default;
};

enum class ShedReason {
    Overloaded,       ///< the estimated wait exceeds the deadline, or the queue is full
    DeadlineExceeded, ///< the deadline passed in the queue
    NoTarget,         ///< no target of the cell accepts work
    RetryBudget,      ///< a further attempt would exceed the retry budget
    Closed            ///< the dispatcher is stopping
};

/// Decision to refuse a request; this decision sent nothing to a target.
struct Shed
{
    RequestId request = 0;
    ShedReason reason = ShedReason::Overloaded;
    Duration retryAfter{};

    auto operator<=>(const Shed &) const = default;
};

using Decision = std::variant<Assignment, Queued, Shed>;
/// Final decision on a request that was queued.
using Resolution = std::variant<Assignment, Shed>;

/// A probe that is due.
struct Probe
{
    std::string targetId;
    Address address;

    auto operator<=>(const Probe &) const = default;
};

/// A dispatcher's conclusions about a target's health; shared with the peers of the region.
struct TargetVerdict
{
    std::string targetId;
    bool ejected = false;
    bool cold = false;
    bool draining = false;
    /// Time until an ejected target gets its next trial request.
    Duration nextTrialIn{};
    /// Consecutive ejections; each doubles the back-off.
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
    /// Explains to operators why the target gets less work than its slots allow; empty when it does
    /// not.
    std::string reason;
    std::uint64_t probes = 0;

    auto operator<=>(const TargetStatus &) const = default;
};

} // namespace lycheebay
