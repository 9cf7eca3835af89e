#include "gateway/relay/reporthistory.h"

#include <algorithm>

namespace lycheebay {

namespace {

// A target that leaves ends within seconds or, rarely, minutes.
constexpr Duration kLeavingLifetime = std::chrono::minutes(10);
constexpr Duration kMaxSuspectLifetime = std::chrono::minutes(10);
// Bounds the frame that an instance gets when it links.
constexpr std::size_t kMaxEntries = 2000;

} // namespace

void ReportHistory::add(const Observations &report, TimePoint now)
{
    removeExpired(now);
    for (const SharedSuspect &it : report.crashSuspects) {
        if (m_suspects.size() < kMaxEntries || m_suspects.contains(it.fingerprint))
            m_suspects[it.fingerprint] = { it, now + std::min(it.remaining, kMaxSuspectLifetime) };
    }
    for (const std::string &it : report.leavingTargets) {
        if (m_leavingTargets.size() < kMaxEntries || m_leavingTargets.contains(it))
            m_leavingTargets[it] = now;
    }
}

Observations ReportHistory::current(TimePoint now)
{
    removeExpired(now);
    Observations reported;
    for (const auto &[fingerprint, it] : m_suspects) {
        reported.crashSuspects.push_back(it.reported);
        reported.crashSuspects.back().remaining = it.expiry - now;
    }
    for (const auto &[target, reportedAt] : m_leavingTargets)
        reported.leavingTargets.push_back(target);
    return reported;
}

void ReportHistory::removeExpired(TimePoint now)
{
    std::erase_if(m_suspects, [now](const auto &it) { return it.second.expiry <= now; });
    std::erase_if(m_leavingTargets,
                  [now](const auto &it) { return now - it.second > kLeavingLifetime; });
}

} // namespace lycheebay
