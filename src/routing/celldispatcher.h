#pragma once

#include "base/irandomsource.h"
#include "routing/routingtypes.h"

#include <memory>
#include <string_view>

namespace lycheebay {

enum class StrategyKind { SlotQueue, RoundRobin, Random, LeastOutstanding, TwoChoices };

/// Parses "slot-queue", "round-robin", "random", "least-outstanding" or "two-choices".
std::optional<StrategyKind> parseStrategy(std::string_view name);
const char *strategyName(StrategyKind kind);

/// Whether this instance owns the cell or serves it only while the owner is unreachable.
enum class DispatchRole {
    Owner,
    Fallback ///< warm targets only, at most one request in flight per target
};

struct DispatcherSettings
{
    StrategyKind strategy = StrategyKind::SlotQueue;
    std::size_t maxQueued = 1024;
    /// Retries as a share of requests.
    double retryShare = 0.1;
    /// Hedged second attempts as a share of idempotent requests.
    double hedgeShare = 0.05;
    /// Share of a cell's targets that may be ejected at the same time.
    double maxEjectedShare = 0.5;
    /// Share of a target's slot time that health checks of all entries may take.
    double measuringShare = 0.01;
    /// Slot time that one probe takes.
    Duration probeCost = std::chrono::milliseconds(6);

    auto operator<=>(const DispatcherSettings &) const = default;
};

/// Chooses targets for the requests of one cell, queues requests that find no free slot and sheds
/// those that would miss their deadline.
///
/// Reads no clock, opens no socket and starts no thread. Not thread-safe: the owner serializes
/// calls. Precondition: `now` never decreases from one call to the next.
class CellDispatcher
{
public:
    CellDispatcher(DispatcherSettings settings, std::uint64_t seed);
    ~CellDispatcher();
    CellDispatcher(const CellDispatcher &) = delete;
    CellDispatcher &operator=(const CellDispatcher &) = delete;

    /// Replaces the target list. Attempts in flight at a removed target continue and must still be
    /// completed.
    std::vector<Resolution> updateTargets(const std::vector<TargetSpec> &targets, TimePoint now);

    /// Sets the role. Until \a coldAllowedFrom, targets that are cold or whose phase is unknown get
    /// no work, because a former owner may still send to them.
    std::vector<Resolution> setRole(DispatchRole role, TimePoint coldAllowedFrom, TimePoint now);

    /// Assigns, queues or sheds a new request. Precondition: \a request was not submitted before.
    Decision submit(RequestId request, const RequestTraits &traits, TimePoint now);

    /// Decides on another attempt at a target that the request has not tried yet, within the retry
    /// budget. Precondition: the request has no attempt in flight, and it is idempotent or
    /// certainly did not run.
    Decision retry(RequestId request, TimePoint now);

    /// Assigns a second target to an idempotent request that runs long, if the hedge budget and a
    /// free slot allow it; never queues.
    std::optional<Assignment> hedge(RequestId request, TimePoint now);

    /// Time in flight after which an idempotent request should be hedged: the 95th percentile of
    /// the cell's latency.
    Duration hedgeDelay() const;

    /// Records the result of an attempt and returns decisions on queued requests.
    std::vector<Resolution> complete(AttemptId attempt, const AttemptResult &result, TimePoint now);

    /// Removes a request, also from the queue. Call once for each submitted request, after its
    /// attempts are completed.
    void finish(RequestId request);

    /// Sheds queued requests that would miss their deadline and assigns those that a target can
    /// take. Call at least every 10 ms while requests are queued.
    std::vector<Resolution> tick(TimePoint now);

    /// Returns the probes that are due and counts them against the budget.
    std::vector<Probe> dueProbes(TimePoint now);
    /// Records the result of a probe. \a load is null when the probe failed.
    std::vector<Resolution> completeProbe(std::string_view targetId,
                                          const std::optional<LoadReport> &load, TimePoint now);

    /// Verdicts to share with peers; leaves out targets about which nothing is known.
    std::vector<TargetVerdict> verdicts(TimePoint now) const;
    /// Applies a peer's verdict on a target. Own attempts take precedence: the owner ignores the
    /// verdict if any of them has ended, a fallback if one ended in the last few seconds.
    void adoptVerdict(const TargetVerdict &verdict, TimePoint now);

    std::vector<TargetStatus> status(TimePoint now) const;
    std::size_t queuedCount() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheebay
