#pragma once

#include "base/iclock.h"

namespace lycheebay {

/// What an instance that was told to stop still does, so that no request is cut when its process is
/// ended after the grace period. Pure value; every method is thread-safe.
class ShutdownPlan
{
public:
    /// Precondition: \a gracePeriod is the time between the stop signal and the forced end.
    ShutdownPlan(TimePoint since, Duration gracePeriod);

    /// True if a request that may take up to \a timeout can still end in time.
    bool mayAccept(TimePoint now, Duration timeout) const;
    /// True if the process should end: everything is done and callers had time to learn new
    /// addresses, or the grace period is over.
    bool shouldExit(TimePoint now, std::size_t pendingRequests, std::size_t connections) const;

private:
    TimePoint m_since;
    TimePoint m_end;
};

} // namespace lycheebay
