#pragma once

#include "base/iclock.h"

#include <algorithm>

namespace lycheebay {

/// Load of other entries at a target, as far as its reports show it. Not thread-safe.
class ForeignLoad
{
public:
    /// \a own is the largest own count that the report can include.
    void report(int inFlight, int own, TimePoint now)
    {
        const int excess = std::max(0, inFlight - own);
        // A single stale report moves nothing: the lower of the last two counts.
        m_load = std::min(excess, m_previous);
        m_previous = excess;
        m_reportedAt = now;
    }

    int load(TimePoint now) const { return now - m_reportedAt < kValidity ? m_load : 0; }

private:
    // Load shifts within milliseconds, so an unconfirmed report soon says nothing.
    static constexpr Duration kValidity = std::chrono::milliseconds(250);

    int m_load = 0;
    int m_previous = 0;
    TimePoint m_reportedAt;
};

} // namespace lycheebay
