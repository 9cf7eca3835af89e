#pragma once

#include "base/iclock.h"
#include "transport/peernodetypes.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace lycheebay {

/// Tells whether an instance in \a region may know of a request with these home regions.
bool mayKnow(const std::vector<std::string> &homeRegions, const std::string &region);

/// The crash suspects that this instance shares. Pure; not thread-safe.
class SuspectBoard
{
public:
    /// Takes suspects and returns those that are news: unknown, or with a higher crash count.
    std::vector<SharedCrashSuspect> merge(const std::vector<SharedCrashSuspect> &suspects,
                                          TimePoint now);
    /// Returns the unexpired suspects that an instance in \a region may know.
    std::vector<SharedCrashSuspect> visibleIn(const std::string &region, TimePoint now) const;
    void dropExpired(TimePoint now);

private:
    struct Entry
    {
        SharedCrashSuspect suspect;
        TimePoint expiresAt;
    };

    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace lycheebay
