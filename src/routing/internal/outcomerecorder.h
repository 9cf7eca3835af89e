#pragma once

#include "routing/internal/attempt.h"
#include "routing/internal/latencyhistogram.h"
#include "routing/internal/targettable.h"

namespace lycheebay {

/// Updates the latency estimate, slow start and outlier detection of targets with the results of
/// attempts and probes. Not thread-safe.
class OutcomeRecorder
{
public:
    explicit OutcomeRecorder(TargetTable &targets)
        : m_targets(targets)
    {}

    /// Precondition: the attempt no longer counts as outstanding.
    void recordAttempt(const Attempt &attempt, const AttemptResult &result, TimePoint now);
    void recordProbe(TargetState &target, const std::optional<LoadReport> &load, TimePoint now);

    /// Resets a target to its cold limit if it has become much slower than the cell.
    void resetToColdIfSlow(TargetState &target, double referenceSeconds, TimePoint now) const;

    const LatencyHistogram &latencies() const { return m_latencies; }

private:
    void recordSucceeded(const Attempt &attempt, const AttemptResult &result, TimePoint now);
    void recordUnsuccessful(const Attempt &attempt, const AttemptResult &result, TimePoint now);
    void recordShed(const Attempt &attempt, const AttemptResult &result, TimePoint now);
    bool isSuspectedHang(const TargetState &target, const AttemptResult &result) const;
    bool isFailure(const AttemptResult &result) const;
    void advanceSlowStart(TargetState &target, const AttemptResult &result);
    void applyReport(TargetState &target, const std::optional<LoadReport> &load, TimePoint now);

    TargetTable &m_targets;
    LatencyHistogram m_latencies;
};

} // namespace lycheebay
