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

/// Whether this instance owns the cell or serves it only while the owner cannot be reached.
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
    /// Share of a target's slot time that measuring may cost, over all entries.
    double measuringShare = 0.01;
    /// Slot time that one probe costs.
    Duration probeCost = std::chrono::milliseconds(6);

    auto operator<=>(const DispatcherSettings &) const = default;
};

/// Chooses targets for the requests of one cell, queues what does not fit and sheds what would be
/// late.
///
/// Pure: it reads no clock, opens no socket and starts no thread. Not thread-safe: the owner
/// serializes calls. `now` never goes backwards.
class CellDispatcher
{
public:
    CellDispatcher(DispatcherSettings settings, std::uint64_t seed);
    ~CellDispatcher();
    CellDispatcher(const CellDispatcher &) = delete;
    CellDispatcher &operator=(const CellDispatcher &) = delete;

    /// Replaces the target list. Attempts in flight at a removed target go on and must still be
    /// completed.
    std::vector<Resolution> updateTargets(const std::vector<TargetSpec> &targets, TimePoint now);

    /// Sets the role. Until \a coldAllowedFrom, cold and unknown targets get nothing, because a
    /// former owner may still send to them.
    std::vector<Resolution> setRole(DispatchRole role, TimePoint coldAllowedFrom, TimePoint now);

    /// Takes a new request. Precondition: \a request was not submitted before.
    Decision submit(RequestId request, const RequestTraits &traits, TimePoint now);

    /// Asks for another attempt on a target that the request did not try yet, within the retry
    /// budget. Precondition: the request has no attempt in flight, and either is idempotent or
    /// certainly did not run.
    Decision retry(RequestId request, TimePoint now);

    /// Returns a second target for an idempotent request that runs long, when the hedge budget and
    /// a free slot allow; never queues.
    std::optional<Assignment> hedge(RequestId request, TimePoint now);

    /// Time after which a running idempotent request is worth a hedge (95th percentile of the
    /// cell).
    Duration hedgeDelay() const;

    /// Records the end of an attempt and returns the queued requests that this decides.
    std::vector<Resolution> complete(AttemptId attempt, const AttemptResult &result, TimePoint now);

    /// Forgets a request; it leaves the queue if it waits. Call once for each submitted request,
    /// after its attempts are completed.
    void finish(RequestId request);

    /// Sheds what would be late, admits what has become possible. Call at least every 10 ms while
    /// something is queued.
    std::vector<Resolution> tick(TimePoint now);

    /// Returns the probes that are due and counts them against the budget.
    std::vector<Probe> dueProbes(TimePoint now);
    /// Records a probe's end. \a load is null when the probe failed.
    std::vector<Resolution> completeProbe(std::string_view targetId,
                                          const std::optional<LoadReport> &load, TimePoint now);

    /// Verdicts that are not the default, for sharing.
    std::vector<TargetVerdict> verdicts(TimePoint now) const;
    /// Takes over a peer's verdict of a target that this dispatcher has no outcomes of its own for.
    void adoptVerdict(const TargetVerdict &verdict, TimePoint now);

    std::vector<TargetStatus> status(TimePoint now) const;
    std::size_t queuedCount() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheebay
