#include "routing/internal/probeplanner.h"

#include "base/invariant.h"
#include "base/seconds.h"

#include <algorithm>

namespace lycheebay {

namespace {

constexpr Duration kSilence = std::chrono::seconds(1);
// A probe whose end was never recorded must not stop all further probes.
constexpr Duration kProbeLost = std::chrono::seconds(10);

} // namespace

ProbePlanner::ProbePlanner(TimePoint now, double slotShare, Duration cost)
    : m_slotShare(slotShare)
    , m_cost(toSeconds(cost))
    , m_earnedAt(now)
{}

void ProbePlanner::setSlotShare(double slotShare, TimePoint now)
{
    earn(now);
    m_slotShare = slotShare;
}

bool ProbePlanner::isDue(TimePoint lastResponse, TimePoint now)
{
    earn(now);
    if (m_running && now - m_lastProbe < kProbeLost)
        return false;
    if (now - lastResponse < kSilence || now - m_lastProbe < kSilence)
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
    LYCHEEBAY_INVARIANT(m_spent <= m_earned, "probes exceed the measuring budget of a target");
}

void ProbePlanner::earn(TimePoint now)
{
    const double earned = m_slotShare * toSeconds(now - m_earnedAt);
    m_earnedAt = now;
    m_earned += earned;
    // At most one probe is saved up, so that the budget holds in every short period too.
    m_balance = std::min(m_cost, m_balance + earned);
}

} // namespace lycheebay
