#pragma once

#include "base/iclock.h"

namespace lycheebay {

/// How an attempt at a target ended, as far as the target's health is concerned.
enum class AttemptResult {
    Served,      ///< a complete answer of the target
    Shed,        ///< the target refused without running the request
    Failed,      ///< a reset, a broken or a false answer
    Unreachable, ///< no connection could be made
    TimedOut,    ///< no answer within several times the expected time
    Abandoned,   ///< given up for a reason that says nothing about the target
};

/// Judges one target by the outcomes of requests, and by probes only as to whether it answers.
/// After failures it is ejected for a time that doubles; then one request tries it again.
/// Pure and not thread-safe. `now` never goes backwards.
class TargetHealth
{
public:
    void recordAttempt(AttemptResult result, TimePoint now);
    void recordProbe(bool answered, TimePoint now);
    /// Tells that a trial request is on its way to an ejected target.
    void recordTrialStarted(TimePoint now);

    /// True while the target must get no request. Once the ejection ended, true while a trial runs.
    bool isEjected(TimePoint now) const;
    /// Share of recent attempts that failed, 0 to 1.
    double failureShare() const { return m_failureShare; }
    /// True if probes get no answer.
    bool isUnresponsive() const;

private:
    void eject(TimePoint now);

    double m_failureShare = 0;
    int m_consecutiveTimeouts = 0;
    int m_unansweredProbes = 0;
    Duration m_ejection{};
    TimePoint m_ejectedUntil;
    TimePoint m_trialUntil;
    bool m_onTrial = false;
};

} // namespace lycheebay
