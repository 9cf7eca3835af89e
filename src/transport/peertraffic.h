#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace lycheebay {

/// Kinds of messages on peer links; the traffic counters are kept per kind.
enum class PeerMessageKind {
    Hello,
    Heartbeat,
    Records,
    RecordRequest,
    Verdicts,
    VerdictRequest,
    CrashSuspects
};

inline constexpr std::size_t kPeerMessageKindCount = 7;

/// Returns the metrics label of a message kind.
constexpr std::string_view peerMessageName(PeerMessageKind kind)
{
    constexpr std::array<std::string_view, kPeerMessageKindCount> kNames{
        "hello",    "heartbeat",       "records",       "record_request",
        "verdicts", "verdict_request", "crash_suspects"
    };
    return kNames[static_cast<std::size_t>(kind)];
}

/// Counters of one message kind. Bytes include the length prefix but no TCP/IP headers.
struct PeerMessageTraffic
{
    std::uint64_t framesIn = 0;
    std::uint64_t framesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;

    auto operator<=>(const PeerMessageTraffic &) const = default;
};

/// Traffic counters within the own region and between regions.
struct PeerTraffic
{
    /// Indexed by PeerMessageKind.
    using ByKind = std::array<PeerMessageTraffic, kPeerMessageKindCount>;

    /// Includes links whose remote region is not known yet.
    ByKind inRegion{};
    ByKind betweenRegions{};

    std::uint64_t totalBytes() const
    {
        std::uint64_t sum = 0;
        for (const ByKind *side : { &inRegion, &betweenRegions }) {
            for (const PeerMessageTraffic &kind : *side)
                sum += kind.bytesIn + kind.bytesOut;
        }
        return sum;
    }

    auto operator<=>(const PeerTraffic &) const = default;
};

} // namespace lycheebay
