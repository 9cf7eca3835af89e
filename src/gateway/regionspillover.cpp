#include "gateway/regionspillover.h"

#include <algorithm>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Period over which forwarded requests are counted.
constexpr Duration kPeriod = milliseconds(500);
// Fewer forwarded requests than these in a period are no shortage; a single slow target causes
// some.
constexpr int kMinForwarded = 2;
constexpr double kMinForwardedShare = 0.05;
constexpr double kIncrease = 0.25;
constexpr double kDecrease = 0.1;
// Callers follow a change only after the lifetime of their cached answers, so a share is kept for
// longer than that before it shrinks.
constexpr Duration kHold = seconds(4);
constexpr Duration kDecreasePeriod = seconds(1);

} // namespace

void RegionSpillover::restore(const LocalShares &shares, TimePoint now)
{
    for (const LocalShare &it : shares.shares) {
        State &state = m_states[it.homeRegion];
        state.share = it.share;
        state.lastShortage = now;
    }
}

void RegionSpillover::add(const OverflowCounts &counts, TimePoint now)
{
    if (m_placed == 0 && m_periodStart == TimePoint())
        m_periodStart = now;
    m_placed += counts.placed;
    for (const RegionOverflow &it : counts.regions) {
        m_states[it.region].received += it.received;
        m_states[it.region].sent += it.sent;
    }
}

bool RegionSpillover::update(TimePoint now)
{
    if (now - m_periodStart < kPeriod)
        return false;
    bool changed = false;
    const auto isShortage = [&](int forwarded) {
        return forwarded >= kMinForwarded && forwarded >= kMinForwardedShare * m_placed;
    };
    for (auto &[region, it] : m_states) {
        const double before = it.share;
        if (isShortage(it.sent)) {
            it.share -= kIncrease;
        } else if (isShortage(it.received)) {
            it.share += kIncrease;
            it.lastShortage = now;
        } else if (now - it.lastShortage >= kHold && now - it.lastDecrease >= kDecreasePeriod) {
            it.share -= kDecrease;
            it.lastDecrease = now;
        }
        it.share = std::clamp(it.share, 0.0, 1.0);
        it.received = 0;
        it.sent = 0;
        changed = changed || it.share != before;
    }
    m_placed = 0;
    m_periodStart = now;
    return changed;
}

LocalShares RegionSpillover::shares() const
{
    LocalShares result;
    for (const auto &[region, it] : m_states) {
        if (it.share > 0)
            result.shares.push_back({ region, it.share });
    }
    return result;
}

} // namespace lycheebay
