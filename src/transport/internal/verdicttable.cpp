#include "transport/internal/verdicttable.h"

#include <algorithm>

namespace lycheebay {

namespace {

// Exceeds the 20,000 targets expected in the whole system in two years; a region has fewer.
constexpr std::size_t kMaxEntries = 25'000;

// Far above any real count. A greater stamp from a faulty peer could overflow the Lamport clock.
constexpr std::uint64_t kMaxStamp = std::uint64_t{ 1 } << 62;

// Ignores nextTrialIn, which changes constantly: it alone is no reason to send a verdict.
bool isSameVerdict(const TargetVerdict &a, const TargetVerdict &b)
{
    return a.ejected == b.ejected && a.cold == b.cold && a.draining == b.draining
           && a.ejections == b.ejections;
}

} // namespace

std::vector<StampedVerdict> VerdictTable::record(const std::vector<TargetVerdict> &verdicts,
                                                 TimePoint now)
{
    std::vector<StampedVerdict> changed;
    for (const TargetVerdict &verdict : verdicts) {
        const auto it = m_entries.find(verdict.targetId);
        if (it != m_entries.end() && isSameVerdict(it->second.verdict.verdict, verdict))
            continue;
        if (it == m_entries.end() && m_entries.size() >= kMaxEntries)
            continue;
        const StampedVerdict stamped{ verdict, ++m_lastStamp, m_selfIncarnation };
        m_entries[verdict.targetId] = { stamped, now };
        changed.push_back(stamped);
    }
    return changed;
}

std::vector<StampedVerdict> VerdictTable::merge(const std::vector<StampedVerdict> &verdicts,
                                                TimePoint now)
{
    std::vector<StampedVerdict> newer;
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
            const bool isNewer = stamped.stamp != known.stamp ? stamped.stamp > known.stamp
                                                              : stamped.origin > known.origin;
            if (!isNewer)
                continue;
        }
        m_entries[stamped.verdict.targetId] = { stamped, now };
        newer.push_back(stamped);
    }
    return newer;
}

std::vector<StampedVerdict> VerdictTable::all(TimePoint now) const
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
