#pragma once

#include "base/iclock.h"

namespace lycheebay {

/// Failure record of one target: when to eject it and when to try it again. Not thread-safe.
class Ejection
{
public:
    void recordSuccess(TimePoint now);
    void recordFailure(TimePoint now);
    /// Counts for the failure share, but not as one of consecutive failures: all attempts that run
    /// when a slowdown begins may be given up one after the other.
    void recordSuspectedHang(TimePoint now);

    /// True after consecutive failures or with a high failure share of recent attempts.
    bool isFailing() const;
    /// Orders failing targets; higher is worse.
    double badness() const;

    bool isEjected() const { return m_ejected; }
    bool isTrialDue(TimePoint now) const { return m_ejected && now >= m_nextTrial; }
    TimePoint nextTrial() const { return m_nextTrial; }
    int ejections() const { return m_ejections; }

    /// Ejects the target, or extends the back-off after a failed trial.
    void eject(TimePoint now);
    /// Puts off the next trial without extending the back-off.
    void postponeTrial(TimePoint now);
    /// Takes over an ejection that a peer decided.
    void adopt(int ejections, TimePoint nextTrial);
    void readmit(TimePoint now);

private:
    void decay(TimePoint now);
    Duration backOff() const;

    double m_failures = 0;
    double m_attempts = 0;
    int m_consecutive = 0;
    TimePoint m_decayedAt;
    bool m_ejected = false;
    int m_ejections = 0;
    TimePoint m_nextTrial;
    TimePoint m_readmittedAt;
};

} // namespace lycheebay
