#pragma once

#include "base/iclock.h"

namespace lycheebay {

/// Decides from the recent failures of one target when to eject it and when to send it a trial
/// request. Not thread-safe.
class OutlierDetector
{
public:
    void recordSuccess(TimePoint now);
    void recordFailure(TimePoint now);
    /// Counts towards the failure share, but not as a consecutive failure: at the onset of a
    /// slowdown, all attempts in flight may be cancelled one after the other.
    void recordSuspectedHang(TimePoint now);

    /// True after several consecutive failures or if a high share of the recent attempts failed.
    bool isFailing() const;
    /// Ranks failing targets; higher is worse.
    double failureScore() const;

    bool isEjected() const { return m_ejected; }
    bool isTrialDue(TimePoint now) const { return m_ejected && now >= m_nextTrialAt; }
    TimePoint nextTrialAt() const { return m_nextTrialAt; }
    int ejections() const { return m_ejections; }

    /// Ejects the target, or lengthens the back-off after a failed trial.
    void eject(TimePoint now);
    /// Delays the next trial without lengthening the back-off.
    void postponeTrial(TimePoint now);
    /// Applies an ejection that a peer decided.
    void adoptEjection(int ejections, TimePoint nextTrialAt);
    void readmit(TimePoint now);

private:
    void decay(TimePoint now);
    Duration backOff() const;

    double m_failures = 0;
    double m_attempts = 0;
    int m_consecutiveFailures = 0;
    TimePoint m_decayedAt;
    bool m_ejected = false;
    int m_ejections = 0;
    TimePoint m_nextTrialAt;
    TimePoint m_readmittedAt;
};

} // namespace lycheebay
