#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>

namespace lycheebay::relay {

class RelaySession;

enum class Cut {
    None,
    /// Connections are closed, and new ones are closed at once.
    Drop,
    /// Bytes are held back until the cut ends.
    Stall
};

enum Direction { Forward, Backward, DirectionCount };

/// Links that share a delay, a cut and a bandwidth, such as all traffic between two regions.
struct RelayGroup
{
    using Time = std::chrono::steady_clock::time_point;

    /// One-way delay in each direction.
    double delayMs = 0;
    /// Bandwidth in each direction; 0 is unlimited.
    double bytesPerSecond = 0;
    Cut cut = Cut::None;
    std::array<std::uint64_t, DirectionCount> bytes{};
    /// When the bytes accepted so far have left, at the bandwidth.
    std::array<Time, DirectionCount> freeAt{};
    std::set<std::shared_ptr<RelaySession>> sessions;
};

} // namespace lycheebay::relay
