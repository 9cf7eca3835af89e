#pragma once

#include "base/iclock.h"
#include "transport/ipeerlinks.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheebay {

/// Decides which configuration records go over which link, so that each record is sent at most
/// once per link and direction. Pure; not thread-safe.
class ConfigurationRelay
{
public:
    struct Push
    {
        LinkId link = 0;
        std::uint64_t from = 0;

        auto operator<=>(const Push &) const = default;
    };

    void removeLink(LinkId link) { m_links.erase(link); }
    /// The peer holds everything before \a nextOffset.
    void peerHolds(LinkId link, std::uint64_t nextOffset);
    /// A peer asked for records and gets them up to \a nextOffset.
    void answered(LinkId link, std::uint64_t nextOffset) { peerHolds(link, nextOffset); }
    /// Returns the links that lack records before \a ownOffset and counts them as sent. A peer that
    /// is far behind is left to ask.
    std::vector<Push> takePushes(std::uint64_t ownOffset);
    /// Returns a link to ask for records when this instance is behind.
    std::optional<LinkId> takeRequest(std::uint64_t ownOffset, TimePoint now);

private:
    std::map<LinkId, std::uint64_t> m_links;
    std::optional<TimePoint> m_behindSince;
    std::optional<TimePoint> m_requestedAt;
    std::uint64_t m_requestedFrom = 0;
    LinkId m_lastAsked = 0;
};

} // namespace lycheebay
