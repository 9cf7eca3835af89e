#include "routing/internal/probeplanner.h"

#include "base/invariant.h"
#include "base/seconds.h"

#include <algorithm>

namespace lycheebay {

namespace {

constexpr Duration kMinQuietTime = std::chrono::seconds(1);
// A probe whose result is never recorded must not block all further probes.
constexpr Duration kProbeTimeout = std::chrono::seconds(10);

} // namespace

ProbePlanner::ProbePlanner(TimePoint now, double slotShare, Duration cost)
    : m_slotShare(slotShare)
    , m_cost(toSeconds(cost))
    , m_accruedAt(now)
{}

void ProbePlanner::setSlotShare(double slotShare, TimePoint now)
{
    accrueBudget(now);
    m_slotShare = slotShare;
}

bool ProbePlanner::isDue(TimePoint lastResponse, TimePoint now)
{
    accrueBudget(now);
    if (m_running && now - m_lastProbe < kProbeTimeout)
        return false;
    if (now - lastResponse < kMinQuietTime || now - m_lastProbe < kMinQuietTime)
        return false;
    return m_balance >= m_cost;
}

void ProbePlanner::start(TimePoint now)
{
    m_running = true;
    m_lastProbe = now;
    m_balance -= m_cost;
    m_spent += m_cost;
    ++m_count;
    LYCHEEBAY_INVARIANT(m_spent <= m_accrued, "probes exceed the probe budget of a target");
}

void ProbePlanner::accrueBudget(TimePoint now)
{
    const double accrued = m_slotShare * toSeconds(now - m_accruedAt);
    m_accruedAt = now;
    m_accrued += accrued;
    // The balance is capped at one probe, so that the budget also holds over short periods.
    m_balance = std::min(m_cost, m_balance + accrued);
}

} // namespace lycheebay
