#include "routing/internal/outcomerecorder.h"

#include <algorithm>

namespace lycheebay {

namespace {

constexpr int kSlowFactor = 2;
// An error that is answered quickly must look slower than any healthy target.
constexpr double kFailurePenalty = 4;
constexpr double kShedPenalty = 2;
// A target slowed five times answers 24% of its requests within twice the cell's median, one that
// hangs on one in three answers 50% so (exponential service times). With 0.35, one of 80 runs of
// routing-bench ejected a slowed target, with 0.42 none.
constexpr double kQuickShareOfHangs = 0.42;
// Distinguishes a target that hangs from a deadline that was too short.
constexpr int kHangFactor = 3;
// Beyond the slowdown by a noisy neighbour, which passes without a new ramp.
constexpr double kShrinkFactor = 6;
// Requests that may serve as trials can be rare; a probe then decides about the re-admission.
constexpr Duration kTrialOverdue = std::chrono::seconds(5);

bool isResponse(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Succeeded || outcome == AttemptOutcome::Failed
           || outcome == AttemptOutcome::Shed;
}

} // namespace

void OutcomeRecorder::recordAttempt(const Attempt &attempt, const AttemptResult &result,
                                    TimePoint now)
{
    TargetState &target = *attempt.target;
    target.recordOutcome(now);
    if (isResponse(result.outcome))
        target.recordResponse(now);
    applyReport(target, result.load, now);
    if (result.outcome == AttemptOutcome::Succeeded)
        recordAnswered(attempt, result, now);
    else if (result.outcome == AttemptOutcome::Shed)
        recordShed(attempt, result, now);
    else
        recordNotAnswered(attempt, result, now);
}

void OutcomeRecorder::recordAnswered(const Attempt &attempt, const AttemptResult &result,
                                     TimePoint now)
{
    TargetState &target = *attempt.target;
    target.latency().add(toSeconds(result.latency), now);
    target.ejection().recordSuccess(now);
    target.recordQuickness(result.latency <= kSlowFactor * m_latencies.median());
    if (attempt.trial && target.ejection().isEjected())
        TargetTable::readmit(target, now);
    else if (!target.ejection().isEjected())
        climbRamp(target, result);
    m_latencies.add(result.latency, now);
}

void OutcomeRecorder::climbRamp(TargetState &target, const AttemptResult &result)
{
    if (!target.isCold() && !target.isRamping())
        return;
    const bool markedCold = result.load && result.load->phase != TargetPhase::Warm;
    const bool slow =
            m_latencies.isMeaningful() && result.latency > kSlowFactor * m_latencies.median();
    if (markedCold || slow)
        target.resetToCold();
    else
        target.raiseLimit();
}

void OutcomeRecorder::recordShed(const Attempt &attempt, const AttemptResult &result, TimePoint now)
{
    TargetState &target = *attempt.target;
    target.reduceAfterShed(now);
    target.latency().add(std::max(toSeconds(result.latency), kShedPenalty * m_latencies.mean()),
                         now);
    if (attempt.trial)
        target.ejection().postponeTrial(now);
}

void OutcomeRecorder::recordNotAnswered(const Attempt &attempt, const AttemptResult &result,
                                        TimePoint now)
{
    TargetState &target = *attempt.target;
    const double seconds = toSeconds(result.latency);
    const bool failure = isFailure(result);
    const bool suspected = !failure && isSuspectedHang(target, result);
    if (result.latency > kSlowFactor * m_latencies.median())
        target.recordQuickness(false);
    if (suspected && !target.ejection().isEjected()) {
        target.latency().addCensored(seconds, now);
        target.ejection().recordSuspectedHang(now);
        if (target.ejection().isFailing())
            m_targets.eject(target, now);
        return;
    }
    if (!failure) {
        target.latency().addCensored(seconds, now);
        if (attempt.trial)
            target.ejection().postponeTrial(now);
        return;
    }
    target.latency().add(std::max(seconds, kFailurePenalty * m_latencies.mean()), now);
    target.ejection().recordFailure(now);
    if (result.outcome == AttemptOutcome::NotConnected
        || result.outcome == AttemptOutcome::ConnectionLost)
        target.resetToCold();
    if (target.ejection().isEjected()) {
        if (attempt.trial)
            target.ejection().eject(now);
    } else if (target.ejection().isFailing()) {
        m_targets.eject(target, now);
    }
}

// A hedge, which is sent after the 95th percentile, usually ends an attempt that hangs long before
// a multiple of it. Such an attempt hung if the target answers others quickly.
bool OutcomeRecorder::isSuspectedHang(const TargetState &target, const AttemptResult &result) const
{
    return result.outcome == AttemptOutcome::Cancelled && m_latencies.isMeaningful()
           && result.latency > m_latencies.p95() && target.quickShare() >= kQuickShareOfHangs;
}

bool OutcomeRecorder::isFailure(const AttemptResult &result) const
{
    if (result.outcome == AttemptOutcome::Cancelled)
        return m_latencies.isMeaningful() && result.latency > kHangFactor * m_latencies.p95();
    if (result.outcome == AttemptOutcome::TimedOut)
        return result.latency > kHangFactor * m_latencies.median();
    return true;
}

void OutcomeRecorder::recordProbe(TargetState &target, const std::optional<LoadReport> &load,
                                  TimePoint now)
{
    const bool trialDue = target.ejection().isTrialDue(now);
    if (!load) {
        // Replaces the trial, so that no request is spent on a target that answers no probe.
        if (trialDue)
            target.ejection().eject(now);
        target.resetToCold();
        return;
    }
    target.recordResponse(now);
    applyReport(target, load, now);
    if (trialDue && now - target.ejection().nextTrial() >= kTrialOverdue)
        TargetTable::readmit(target, now);
}

void OutcomeRecorder::applyReport(TargetState &target, const std::optional<LoadReport> &load,
                                  TimePoint now)
{
    if (!load)
        return;
    const bool wasDraining = target.isDraining();
    target.applyReport(*load, now);
    if (target.isDraining() != wasDraining)
        m_targets.enforceEjectedShare(now);
}

void OutcomeRecorder::shrinkIfSlow(TargetState &target, double referenceSeconds,
                                   TimePoint now) const
{
    if (!m_latencies.isMeaningful() || target.isCold() || referenceSeconds <= 0)
        return;
    if (target.estimatedSeconds(m_latencies.mean(), now) > kShrinkFactor * referenceSeconds)
        target.resetToCold();
}

} // namespace lycheebay
