#pragma once

#include "base/iclock.h"

namespace lycheebay {

/// Decides what an instance still accepts during a graceful shutdown and when its process exits, so
/// that the forced termination after the grace period interrupts no request. Immutable and
/// thread-safe.
class ShutdownPlan
{
public:
    /// \a since is when the stop signal arrived; \a gracePeriod is the time from there to the
    /// forced termination.
    ShutdownPlan(TimePoint since, Duration gracePeriod);

    /// When every request must have been answered, shortly before the process has to exit.
    TimePoint lastAnswerAt() const;
    /// True if a request that may take up to \a timeout is answered in time.
    bool mayAccept(TimePoint now, Duration timeout) const;
    /// True if the process should exit: nothing is pending or connected and callers have had time
    /// to fetch new addresses, or the grace period is about to end.
    bool shouldExit(TimePoint now, std::size_t pendingRequests, std::size_t connections) const;

private:
    TimePoint m_since;
    TimePoint m_exitAt;
};

} // namespace lycheebay
