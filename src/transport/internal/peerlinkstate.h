#pragma once

#include "base/iclock.h"
#include "configuration/configurationtypes.h"
#include "transport/ipeerlinks.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace lycheebay {

/// Number of consecutive heartbeats with a different table hash before the tables are repaired.
/// Changes take some heartbeats to propagate, so that short-lived differences are expected.
inline constexpr int kMismatchesBeforeRepair = 4;

/// State that PeerNode keeps for an open link.
struct PeerLinkState
{
    struct SentHeartbeat
    {
        std::uint64_t number = 0;
        TimePoint at;
    };

    /// A record batch that is being received in parts.
    struct Transfer
    {
        std::uint64_t id = 0;
        std::uint32_t nextIndex = 0;
        std::string data;
    };

    bool outbound = false;
    Address remote;
    TimePoint openedAt;
    /// The peer's hello was accepted. Before that, only hello frames are sent and accepted.
    bool identified = false;
    RosterMember peer;
    std::int64_t peerStartedAtMs = 0;
    TimePoint lastFrame;
    TimePoint lastHeartbeatSent;
    /// The newest heartbeat received, to be echoed to the peer, and its time of arrival.
    std::uint64_t echoNumber = 0;
    TimePoint echoAt;
    /// Ring buffer of the latest heartbeats sent.
    std::array<SentHeartbeat, 16> sentHeartbeats{};
    std::size_t sentHeartbeatCount = 0;
    /// Member table changes up to this sequence number have been sent.
    std::uint64_t changeCursor = 0;
    /// Consecutive heartbeats whose table hash differed from the local one.
    int hashMismatches = 0;
    /// The next configuration offset that the peer reported.
    std::uint64_t nextOffset = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    Transfer transfer;

    void recordSentHeartbeat(std::uint64_t number, TimePoint now)
    {
        sentHeartbeats[sentHeartbeatCount++ % sentHeartbeats.size()] = { number, now };
        lastHeartbeatSent = now;
    }

    /// Returns when heartbeat \a number was sent; empty if it is unknown or no longer stored.
    std::optional<TimePoint> heartbeatSentAt(std::uint64_t number) const
    {
        for (const SentHeartbeat &heartbeat : sentHeartbeats) {
            if (number != 0 && heartbeat.number == number)
                return heartbeat.at;
        }
        return std::nullopt;
    }
};

} // namespace lycheebay
