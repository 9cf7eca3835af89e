#pragma once

#include "base/iclock.h"

#include <algorithm>

namespace lycheebay {

/// Estimates the load of other entries at a target from the target's reports. Not thread-safe.
class ExternalLoad
{
public:
    /// \a own is the highest number of own requests that the report can include.
    void report(int inFlight, int own, TimePoint now)
    {
        const int excess = std::max(0, inFlight - own);
        // The lower of the last two counts, so that a single stale report has no effect.
        m_load = std::min(excess, m_previous);
        m_previous = excess;
        m_reportedAt = now;
    }

    int load(TimePoint now) const { return now - m_reportedAt < kValidity ? m_load : 0; }

private:
    // Load shifts within milliseconds, so a report soon becomes meaningless.
    static constexpr Duration kValidity = std::chrono::milliseconds(250);

    int m_load = 0;
    int m_previous = 0;
    TimePoint m_reportedAt;
};

} // namespace lycheebay
