#pragma once

#include "base/iclock.h"
#include "transport/ipeerlinks.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheebay {

/// Decides which configuration records are sent over which link, so that each record is sent at
/// most once per link and direction. Performs no I/O; not thread-safe.
class ConfigurationRelay
{
public:
    /// An order to send the records from offset \a from over \a link.
    struct Push
    {
        LinkId link = 0;
        std::uint64_t from = 0;

        auto operator<=>(const Push &) const = default;
    };

    void removeLink(LinkId link) { m_peerOffsets.erase(link); }
    /// Notes that the peer has all records before \a nextOffset.
    void advancePeerOffset(LinkId link, std::uint64_t nextOffset);
    /// Notes that a request of the peer was answered with the records before \a nextOffset.
    void recordAnswer(LinkId link, std::uint64_t nextOffset)
    {
        advancePeerOffset(link, nextOffset);
    }
    /// Returns the links whose peers lack records before \a ownOffset and marks these records as
    /// sent. A peer that is far behind gets no push and has to request the records.
    std::vector<Push> takeDuePushes(std::uint64_t ownOffset);
    /// Returns the link on which to request records; empty if this instance is up to date or waits
    /// for a push or an answer.
    std::optional<LinkId> takeDueRequest(std::uint64_t ownOffset, TimePoint now);

private:
    std::map<LinkId, std::uint64_t> m_peerOffsets;
    std::optional<TimePoint> m_behindSince;
    std::optional<TimePoint> m_requestedAt;
    std::uint64_t m_requestedOffset = 0;
    LinkId m_lastAsked = 0;
};

} // namespace lycheebay
