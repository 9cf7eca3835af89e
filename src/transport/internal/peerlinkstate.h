#pragma once

#include "base/iclock.h"
#include "configuration/configurationtypes.h"
#include "transport/ipeerlinks.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace lycheebay {

/// Changes take some heartbeats to arrive; only a lasting difference of the tables is repaired.
inline constexpr int kMismatchesBeforeRepair = 4;

/// What the node knows of one open link.
struct PeerLinkState
{
    struct SentHeartbeat
    {
        std::uint64_t number = 0;
        TimePoint at;
    };

    /// A record batch that arrives in parts.
    struct Transfer
    {
        std::uint64_t id = 0;
        std::uint32_t nextIndex = 0;
        std::string data;
    };

    bool outbound = false;
    Address remote;
    TimePoint openedAt;
    /// The peer has sent its hello; nothing else is sent or accepted before.
    bool identified = false;
    RosterMember peer;
    std::int64_t peerStartedAtMs = 0;
    TimePoint lastFrame;
    TimePoint lastHeartbeatSent;
    std::uint64_t echoNumber = 0;
    TimePoint echoAt;
    std::array<SentHeartbeat, 16> sent{};
    std::size_t sentCount = 0;
    std::uint64_t changeCursor = 0;
    int hashMismatches = 0;
    std::uint64_t nextOffset = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    Transfer transfer;

    void noteSent(std::uint64_t number, TimePoint now)
    {
        sent[sentCount++ % sent.size()] = { number, now };
        lastHeartbeatSent = now;
    }

    /// Returns when heartbeat \a number was sent; empty when it is unknown or too long ago.
    std::optional<TimePoint> sentAt(std::uint64_t number) const
    {
        for (const SentHeartbeat &heartbeat : sent) {
            if (number != 0 && heartbeat.number == number)
                return heartbeat.at;
        }
        return std::nullopt;
    }
};

} // namespace lycheebay
