#pragma once

#include "base/iclock.h"
#include "base/seconds.h"

#include <algorithm>

namespace lycheebay {

/// Spaces the requests to one target evenly, so that it gets no more than a rate (generic cell rate
/// algorithm, ITU-T I.371). Does no I/O. Not thread-safe.
class RequestPacer
{
public:
    /// True if a request may be sent. \a burst is the number of requests that may be sent at once
    /// after a pause. Preconditions: \a perSecond > 0, \a burst >= 1.
    bool isReady(TimePoint now, double perSecond, int burst) const
    {
        return now + interval(perSecond) * (burst - 1) >= m_nextAt;
    }
    /// Counts a request that is sent, at once if isReady() is true.
    void recordSent(TimePoint now, double perSecond)
    {
        m_nextAt = std::max(m_nextAt, now) + interval(perSecond);
    }

private:
    static Duration interval(double perSecond) { return fromSeconds(1 / perSecond); }

    TimePoint m_nextAt;
};

} // namespace lycheebay
