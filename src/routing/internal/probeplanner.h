#pragma once

#include "base/iclock.h"

#include <cstdint>

namespace lycheebay {

/// Decides when one target may be probed within its measuring budget. Not thread-safe.
class ProbePlanner
{
public:
    /// \a slotShare is the time per second that probes of the target may cost.
    ProbePlanner(TimePoint now, double slotShare, Duration cost);

    /// Changes the budget from \a now on; what was spent is kept.
    void setSlotShare(double slotShare, TimePoint now);

    /// True when no probe is running and the target gave no response for a while.
    bool isDue(TimePoint lastResponse, TimePoint now);
    /// Counts a probe. Precondition: isDue().
    void start(TimePoint now);
    void finish() { m_running = false; }
    std::uint64_t count() const { return m_count; }

private:
    void earn(TimePoint now);

    double m_slotShare;
    double m_cost;
    double m_balance = 0;
    double m_earned = 0;
    double m_spent = 0;
    std::uint64_t m_count = 0;
    bool m_running = false;
    TimePoint m_earnedAt;
    TimePoint m_lastProbe;
};

} // namespace lycheebay
