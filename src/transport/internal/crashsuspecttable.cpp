#include "transport/internal/crashsuspecttable.h"

#include <algorithm>

namespace lycheebay {

namespace {

constexpr std::size_t kMaxEntries = 4096;

} // namespace

bool isVisibleInRegion(const std::vector<std::string> &homeRegions, const std::string &region)
{
    return homeRegions.empty()
           || std::find(homeRegions.begin(), homeRegions.end(), region) != homeRegions.end();
}

std::vector<SharedCrashSuspect>
CrashSuspectTable::merge(const std::vector<SharedCrashSuspect> &suspects, TimePoint now)
{
    std::vector<SharedCrashSuspect> changed;
    for (const SharedCrashSuspect &suspect : suspects) {
        const auto it = m_entries.find(suspect.fingerprint);
        if (it == m_entries.end() && m_entries.size() >= kMaxEntries)
            continue;
        const bool known = it != m_entries.end() && it->second.expiresAt > now;
        if (known && it->second.suspect.crashCount >= suspect.crashCount)
            continue;
        if (suspect.expiresIn <= Duration::zero())
            continue;
        m_entries[suspect.fingerprint] = { suspect, now + suspect.expiresIn };
        changed.push_back(suspect);
    }
    return changed;
}

std::vector<SharedCrashSuspect> CrashSuspectTable::visibleIn(const std::string &region,
                                                             TimePoint now) const
{
    std::vector<SharedCrashSuspect> result;
    for (const auto &[fingerprint, entry] : m_entries) {
        if (entry.expiresAt <= now || !isVisibleInRegion(entry.suspect.homeRegions, region))
            continue;
        SharedCrashSuspect suspect = entry.suspect;
        suspect.expiresIn = entry.expiresAt - now;
        result.push_back(suspect);
    }
    return result;
}

void CrashSuspectTable::dropExpired(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &entry) { return entry.second.expiresAt <= now; });
}

} // namespace lycheebay
