#include "routing/internal/outcomerecorder.h"

#include <algorithm>

namespace lycheebay {

namespace {

constexpr int kSlowFactor = 2;
// Multiples of the cell's mean latency: a target that returns errors or sheds quickly must look
// slower than any healthy one.
constexpr double kFailurePenalty = 4;
constexpr double kShedPenalty = 2;
// A target slowed down five times answers 24% of its requests within twice the cell's median, one
// that hangs on one request in three answers 50% (exponential service times). 0.35 ejected a slowed
// target in one of 80 runs of routing-bench, 0.42 in none.
constexpr double kMinFastShareOfHanging = 0.42;
// Distinguishes a target that hangs from a deadline that is too short.
constexpr int kHangFactor = 3;
// Exceeds the slowdown by a noisy neighbour, which passes without a new slow start.
constexpr double kColdResetFactor = 6;
// Requests that may serve as trials can be rare; after this time a successful probe readmits the
// target.
constexpr Duration kTrialOverdueAfter = std::chrono::seconds(5);

bool isCompleteResponse(AttemptOutcome outcome)
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
    if (isCompleteResponse(result.outcome))
        target.recordResponse(now);
    applyReport(target, result.load, now);
    if (result.outcome == AttemptOutcome::Succeeded)
        recordSucceeded(attempt, result, now);
    else if (result.outcome == AttemptOutcome::Shed)
        recordShed(attempt, result, now);
    else
        recordUnsuccessful(attempt, result, now);
}

void OutcomeRecorder::recordSucceeded(const Attempt &attempt, const AttemptResult &result,
                                      TimePoint now)
{
    TargetState &target = *attempt.target;
    target.latency().add(toSeconds(result.latency), now);
    target.outlierDetector().recordSuccess(now);
    target.recordFast(result.latency <= kSlowFactor * m_latencies.median());
    if (attempt.trial && target.outlierDetector().isEjected())
        TargetTable::readmit(target, now);
    else if (!target.outlierDetector().isEjected())
        advanceSlowStart(target, result);
    m_latencies.add(result.latency, now);
}

void OutcomeRecorder::advanceSlowStart(TargetState &target, const AttemptResult &result)
{
    if (!target.isCold() && !target.isInSlowStart())
        return;
    const bool markedCold = result.load && result.load->phase != TargetPhase::Warm;
    const bool slow =
            m_latencies.hasEnoughSamples() && result.latency > kSlowFactor * m_latencies.median();
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
        target.outlierDetector().postponeTrial(now);
}

void OutcomeRecorder::recordUnsuccessful(const Attempt &attempt, const AttemptResult &result,
                                         TimePoint now)
{
    TargetState &target = *attempt.target;
    const double seconds = toSeconds(result.latency);
    const bool failure = isFailure(result);
    const bool suspected = !failure && isSuspectedHang(target, result);
    if (result.latency > kSlowFactor * m_latencies.median())
        target.recordFast(false);
    if (suspected && !target.outlierDetector().isEjected()) {
        target.latency().addCensored(seconds, now);
        target.outlierDetector().recordSuspectedHang(now);
        if (target.outlierDetector().isFailing())
            m_targets.eject(target, now);
        return;
    }
    if (!failure) {
        target.latency().addCensored(seconds, now);
        if (attempt.trial)
            target.outlierDetector().postponeTrial(now);
        return;
    }
    target.latency().add(std::max(seconds, kFailurePenalty * m_latencies.mean()), now);
    target.outlierDetector().recordFailure(now);
    if (result.outcome == AttemptOutcome::NotConnected
        || result.outcome == AttemptOutcome::ConnectionLost)
        target.resetToCold();
    if (target.outlierDetector().isEjected()) {
        if (attempt.trial)
            target.outlierDetector().eject(now);
    } else if (target.outlierDetector().isFailing()) {
        m_targets.eject(target, now);
    }
}

// Hedges are sent after the 95th percentile, so an attempt that hangs is usually cancelled long
// before a multiple of it. The attempt is taken for a hang if the target answers others quickly.
bool OutcomeRecorder::isSuspectedHang(const TargetState &target, const AttemptResult &result) const
{
    return result.outcome == AttemptOutcome::Cancelled && m_latencies.hasEnoughSamples()
           && result.latency > m_latencies.p95() && target.fastShare() >= kMinFastShareOfHanging;
}

bool OutcomeRecorder::isFailure(const AttemptResult &result) const
{
    if (result.outcome == AttemptOutcome::Cancelled)
        return m_latencies.hasEnoughSamples() && result.latency > kHangFactor * m_latencies.p95();
    if (result.outcome == AttemptOutcome::TimedOut)
        return result.latency > kHangFactor * m_latencies.median();
    return true;
}

void OutcomeRecorder::recordProbe(TargetState &target, const std::optional<LoadReport> &load,
                                  TimePoint now)
{
    const bool trialDue = target.outlierDetector().isTrialDue(now);
    if (!load) {
        // The failed probe counts as a failed trial, so that no request is sent to a target that
        // does not answer probes.
        if (trialDue)
            target.outlierDetector().eject(now);
        target.resetToCold();
        return;
    }
    target.recordResponse(now);
    applyReport(target, load, now);
    if (trialDue && now - target.outlierDetector().nextTrialAt() >= kTrialOverdueAfter)
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

void OutcomeRecorder::resetToColdIfSlow(TargetState &target, double referenceSeconds,
                                        TimePoint now) const
{
    if (!m_latencies.hasEnoughSamples() || target.isCold() || referenceSeconds <= 0)
        return;
    if (target.estimatedSeconds(m_latencies.mean(), now) > kColdResetFactor * referenceSeconds)
        target.resetToCold();
}

} // namespace lycheebay
