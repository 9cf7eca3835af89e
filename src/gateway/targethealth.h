#pragma once

#include "base/iclock.h"

namespace lycheebay {

/// How an attempt at a target ended, as input for its health.
enum class AttemptResult {
    Served,      ///< a complete response
    Shed,        ///< the target rejected the request without running it
    Failed,      ///< a connection reset, or a malformed or wrong response
    Unreachable, ///< the connection could not be established
    TimedOut,    ///< no response within a multiple of the expected time
    Abandoned,   ///< cancelled for a reason unrelated to the target
};

/// Outlier detection for one target, based on the results of requests and on whether it answers
/// probes. A failing target is ejected for a time that doubles with each ejection; after it, a
/// single trial request decides whether the target is used again. Does no I/O. Not thread-safe.
/// `now` must not decrease.
class TargetHealth
{
public:
    void recordAttempt(AttemptResult result, TimePoint now);
    void recordProbe(bool answered, TimePoint now);
    /// Reports that a request was sent. It is the trial request if the target was ejected before
    /// and has not recovered since.
    void recordTrialStarted(TimePoint now);

    /// True while the target is ejected, and after that while a trial request is in flight.
    bool isEjected(TimePoint now) const;
    /// Moving average of the failure weight of recent attempts, 0 to 1.
    double failureRate() const { return m_failureRate; }
    /// True if several probes in a row got no answer.
    bool isUnresponsive() const;

private:
    void eject(TimePoint now);

    double m_failureRate = 0;
    int m_consecutiveTimeouts = 0;
    int m_unansweredProbes = 0;
    Duration m_ejectionTime{};
    TimePoint m_ejectedUntil;
    TimePoint m_trialUntil;
    bool m_trialInFlight = false;
};

} // namespace lycheebay
