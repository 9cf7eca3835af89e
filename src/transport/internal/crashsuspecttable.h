#pragma once

#include "base/iclock.h"
#include "transport/peernodetypes.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace lycheebay {

/// Returns whether data about a request with these home regions may be sent to \a region.
bool isVisibleInRegion(const std::vector<std::string> &homeRegions, const std::string &region);

/// The crash suspects that this instance exchanges with its peers. Performs no I/O; not
/// thread-safe.
class CrashSuspectTable
{
public:
    /// Merges suspects and returns those that were unknown or now have a higher crash count.
    std::vector<SharedCrashSuspect> merge(const std::vector<SharedCrashSuspect> &suspects,
                                          TimePoint now);
    /// Returns the unexpired suspects that may be sent to \a region.
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
