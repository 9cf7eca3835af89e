#include "transport/internal/verdictboard.h"

#include <algorithm>

namespace lycheebay {

namespace {

// More than the targets of a whole system in two years (20,000); a region holds fewer.
constexpr std::size_t kMaxEntries = 25'000;

// Far beyond any real count; a greater stamp from a faulty peer would wrap the logical time.
constexpr std::uint64_t kMaxStamp = std::uint64_t{ 1 } << 62;

// The remaining time changes constantly and alone is no news.
bool isSameVerdict(const TargetVerdict &a, const TargetVerdict &b)
{
    return a.ejected == b.ejected && a.cold == b.cold && a.draining == b.draining
           && a.ejections == b.ejections;
}

} // namespace

std::vector<StampedVerdict> VerdictBoard::record(const std::vector<TargetVerdict> &verdicts,
                                                 TimePoint now)
{
    std::vector<StampedVerdict> changed;
    for (const TargetVerdict &verdict : verdicts) {
        const auto it = m_entries.find(verdict.targetId);
        if (it != m_entries.end() && isSameVerdict(it->second.verdict.verdict, verdict))
            continue;
        if (it == m_entries.end() && m_entries.size() >= kMaxEntries)
            continue;
        const StampedVerdict stamped{ verdict, ++m_lastStamp, m_self };
        m_entries[verdict.targetId] = { stamped, now };
        changed.push_back(stamped);
    }
    return changed;
}

std::vector<StampedVerdict> VerdictBoard::merge(const std::vector<StampedVerdict> &verdicts,
                                                TimePoint now)
{
    std::vector<StampedVerdict> news;
    for (const StampedVerdict &stamped : verdicts) {
        if (stamped.stamp > kMaxStamp)
            continue;
        m_lastStamp = std::max(m_lastStamp, stamped.stamp);
        const auto it = m_entries.find(stamped.verdict.targetId);
        if (it == m_entries.end()) {
            if (m_entries.size() >= kMaxEntries)
                continue;
        } else {
            const StampedVerdict &known = it->second.verdict;
            const bool newer = stamped.stamp != known.stamp ? stamped.stamp > known.stamp
                                                            : stamped.origin > known.origin;
            if (!newer)
                continue;
        }
        m_entries[stamped.verdict.targetId] = { stamped, now };
        news.push_back(stamped);
    }
    return news;
}

std::vector<StampedVerdict> VerdictBoard::all(TimePoint now) const
{
    std::vector<StampedVerdict> result;
    result.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        StampedVerdict stamped = entry.verdict;
        Duration &remaining = stamped.verdict.nextTrialIn;
        remaining = std::max(Duration::zero(), remaining - (now - entry.recordedAt));
        result.push_back(stamped);
    }
    return result;
}

} // namespace lycheebay
