#include "gateway/relay/reporthistory.h"

#include <algorithm>

namespace lycheebay {

namespace {

// A target that leaves ends within seconds or, rarely, minutes.
constexpr Duration kLeavingLifetime = std::chrono::minutes(10);
constexpr Duration kMaxSuspectLifetime = std::chrono::minutes(10);
// Bounds the frame that an instance gets when it links.
constexpr std::size_t kMaxEntries = 2000;
// A report that was longer on its way seems to hold longer.
constexpr Duration kTransitTolerance = std::chrono::seconds(1);

} // namespace

Observations ReportHistory::add(const Observations &report, TimePoint now)
{
    removeExpired(now);
    Observations added;
    for (const SharedSuspect &it : report.crashSuspects) {
        if (add(it, now))
            added.crashSuspects.push_back(it);
    }
    for (const std::string &it : report.leavingTargets) {
        if (addLeaving(it, now))
            added.leavingTargets.push_back(it);
    }
    return added;
}

bool ReportHistory::add(const SharedSuspect &suspect, TimePoint now)
{
    const SuspectKey key{ suspect.fingerprint, suspect.crashCount };
    const TimePoint expiry = now + std::min(suspect.remaining, kMaxSuspectLifetime);
    const auto known = m_suspects.find(key);
    if (known != m_suspects.end() && expiry <= known->second.expiry + kTransitTolerance)
        return false;
    if (known == m_suspects.end() && m_suspects.size() >= kMaxEntries) {
        m_suspects.erase(std::min_element(
                m_suspects.begin(), m_suspects.end(),
                [](const auto &a, const auto &b) { return a.second.expiry < b.second.expiry; }));
    }
    m_suspects[key] = { suspect, expiry };
    return true;
}

bool ReportHistory::addLeaving(const std::string &target, TimePoint now)
{
    if (m_leavingTargets.contains(target))
        return false;
    if (m_leavingTargets.size() >= kMaxEntries) {
        m_leavingTargets.erase(
                std::min_element(m_leavingTargets.begin(), m_leavingTargets.end(),
                                 [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
    m_leavingTargets[target] = now;
    return true;
}

Observations ReportHistory::current(TimePoint now)
{
    removeExpired(now);
    Observations reported;
    for (const auto &[key, it] : m_suspects) {
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
