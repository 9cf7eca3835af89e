#pragma once

#include "base/iclock.h"

#include <cstdint>

namespace lycheebay {

/// Decides when to probe one target within its probe budget. Not thread-safe.
class ProbePlanner
{
public:
    /// \a slotShare is the slot time per second that probes of the target may take.
    ProbePlanner(TimePoint now, double slotShare, Duration cost);

    /// Changes the rate of the budget from \a now on; the balance is kept.
    void setSlotShare(double slotShare, TimePoint now);

    /// True if the budget allows a probe, none is in flight and the target has sent no response for
    /// a while.
    bool isDue(TimePoint lastResponse, TimePoint now);
    /// Charges a probe to the budget. Precondition: isDue().
    void start(TimePoint now);
    void finish() { m_running = false; }
    std::uint64_t count() const { return m_count; }

private:
    void accrueBudget(TimePoint now);

    double m_slotShare;
    double m_cost;
    double m_balance = 0;
    double m_accrued = 0;
    double m_spent = 0;
    std::uint64_t m_count = 0;
    bool m_running = false;
    TimePoint m_accruedAt;
    TimePoint m_lastProbe;
};

} // namespace lycheebay
