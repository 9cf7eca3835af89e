#include "outcomes/crashsuspects.h"

#include <algorithm>

namespace lycheebay {

namespace {

/// A request is refused from this number of suspected crashes on.
constexpr int kCrashesUntilRefusal = 2;
/// Frequent requests are few. An overwritten entry only means that a lost connection is counted.
constexpr std::size_t kRecentResponseSlots = 4096;

} // namespace

CrashSuspects::CrashSuspects(const SuspectLimits &limits)
    : m_limits(limits)
    , m_recentResponses(kRecentResponseSlots)
{}

Admission CrashSuspects::admit(Fingerprint fingerprint, TimePoint now)
{
    Suspect *suspect = find(fingerprint, now);
    if (!suspect)
        return Admission::Unrestricted;
    if (now < suspect->refusedUntil)
        return Admission::Refused;
    if (suspect->running)
        return Admission::AlreadyRunning;
    suspect->running = true;
    return Admission::Exclusive;
}

void CrashSuspects::release(Fingerprint fingerprint)
{
    const auto it = m_suspects.find(fingerprint);
    if (it != m_suspects.end())
        it->second.running = false;
}

SharedSuspect CrashSuspects::recordCrash(Fingerprint fingerprint,
                                         const std::vector<std::string> &homeRegions,
                                         const LostRun &run, TimePoint now)
{
    if (hasRespondedLately(fingerprint, now))
        return {};
    Suspect *suspect = find(fingerprint, now);
    if (suspect && run.began < suspect->lastCrash)
        return {};
    if (!suspect)
        suspect = &insert(fingerprint);
    suspect->crashCount = std::min(suspect->crashCount + 1, kCrashesUntilRefusal);
    suspect->lastCrash = run.lostAt;
    suspect->homeRegions = homeRegions;
    Duration remaining = m_limits.suspectRetention;
    if (suspect->crashCount >= kCrashesUntilRefusal) {
        suspect->refusedUntil = now + m_limits.refusalPeriod;
        remaining = m_limits.refusalPeriod;
    }
    // The suspect is kept beyond the refusal period, so that a single further crash refuses the
    // request again.
    setExpiry(fingerprint, *suspect,
              std::max(suspect->refusedUntil, now) + m_limits.suspectRetention);
    return { fingerprint, suspect->crashCount, remaining, homeRegions };
}

bool CrashSuspects::hasRespondedLately(Fingerprint fingerprint, TimePoint now) const
{
    const RecentResponse &response = m_recentResponses[fingerprint % kRecentResponseSlots];
    return response.fingerprint == fingerprint && response.at != TimePoint{}
           && now - response.at < m_limits.responseRetention;
}

void CrashSuspects::recordResponse(Fingerprint fingerprint, TimePoint now)
{
    m_recentResponses[fingerprint % kRecentResponseSlots] = { fingerprint, now };
    const auto it = m_suspects.find(fingerprint);
    if (it != m_suspects.end())
        erase(it);
}

void CrashSuspects::mergeFromPeer(const SharedSuspect &shared, TimePoint now)
{
    if (shared.crashCount <= 0 || shared.remaining <= Duration::zero()
        || hasRespondedLately(shared.fingerprint, now))
        return;
    Suspect *suspect = find(shared.fingerprint, now);
    if (!suspect)
        suspect = &insert(shared.fingerprint);
    suspect->crashCount = std::clamp(shared.crashCount, suspect->crashCount, kCrashesUntilRefusal);
    suspect->lastCrash = now;
    suspect->homeRegions = shared.homeRegions;
    if (shared.crashCount >= kCrashesUntilRefusal) {
        const TimePoint until = now + std::min(shared.remaining, m_limits.refusalPeriod);
        suspect->refusedUntil = std::max(suspect->refusedUntil, until);
    }
    const bool isRefused = shared.crashCount >= kCrashesUntilRefusal;
    const Duration remaining = isRefused ? m_limits.suspectRetention
                                         : std::min(shared.remaining, m_limits.suspectRetention);
    setExpiry(shared.fingerprint, *suspect, std::max(suspect->refusedUntil, now) + remaining);
}

Duration CrashSuspects::refusedFor(Fingerprint fingerprint, TimePoint now) const
{
    const auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end() || it->second.refusedUntil <= now)
        return Duration::zero();
    return it->second.refusedUntil - now;
}

CrashSuspects::Suspect *CrashSuspects::find(Fingerprint fingerprint, TimePoint now)
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now)
        erase(m_suspects.find(m_byExpiry.begin()->second));
    const auto it = m_suspects.find(fingerprint);
    return it == m_suspects.end() ? nullptr : &it->second;
}

CrashSuspects::Suspect &CrashSuspects::insert(Fingerprint fingerprint)
{
    if (m_suspects.size() >= m_limits.maxSuspects && !m_byExpiry.empty())
        erase(m_suspects.find(m_byExpiry.begin()->second));
    return m_suspects[fingerprint];
}

void CrashSuspects::setExpiry(Fingerprint fingerprint, Suspect &suspect, TimePoint expiry)
{
    const auto range = m_byExpiry.equal_range(suspect.expiry);
    const auto old = std::find_if(range.first, range.second,
                                  [&](const auto &it) { return it.second == fingerprint; });
    if (old != range.second)
        m_byExpiry.erase(old);
    suspect.expiry = expiry;
    m_byExpiry.emplace(expiry, fingerprint);
}

void CrashSuspects::erase(Suspects::iterator it)
{
    const auto range = m_byExpiry.equal_range(it->second.expiry);
    const auto old = std::find_if(range.first, range.second,
                                  [&](const auto &entry) { return entry.second == it->first; });
    if (old != range.second)
        m_byExpiry.erase(old);
    m_suspects.erase(it);
}

} // namespace lycheebay
