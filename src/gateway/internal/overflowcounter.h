#pragma once

#include "gateway/estateview.h"

#include <map>
#include <string>

namespace lycheebay {

/// Counts the requests that dispatchers of different regions forward to each other for lack of
/// room. Not thread-safe: use it on the event loop.
class OverflowCounter final
{
public:
    /// Counts a request that got a target here.
    void countPlaced() { ++m_placed; }
    /// Counts a forwarded request from \a region that got a target here.
    void countReceived(const std::string &region) { ++entryOf(region).received; }
    /// Counts a request that was forwarded to \a region and got a target there.
    void countSent(const std::string &region) { ++entryOf(region).sent; }

    /// Returns the counts since the last call and starts anew, or null if nothing was forwarded.
    IntrusivePtr<const OverflowCounts> take()
    {
        if (m_regions.empty()) {
            m_placed = 0;
            return {};
        }
        auto counts = makeRef<OverflowCounts>();
        counts->placed = m_placed;
        for (const auto &[region, it] : m_regions)
            counts->regions.push_back(it);
        m_placed = 0;
        m_regions.clear();
        return IntrusivePtr<const OverflowCounts>(counts);
    }

private:
    RegionOverflow &entryOf(const std::string &region)
    {
        RegionOverflow &it = m_regions[region];
        it.region = region;
        return it;
    }

    int m_placed = 0;
    std::map<std::string, RegionOverflow> m_regions;
};

} // namespace lycheebay
