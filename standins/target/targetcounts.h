#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>

namespace lycheebay::standins {

/// What one target counted since the last reset.
struct TargetCounts
{
    std::uint64_t requests = 0;
    std::uint64_t started = 0;
    std::uint64_t notRun = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t probes = 0;
    std::uint64_t loadQueries = 0;
    std::uint64_t connections = 0;
    std::uint64_t connectionsRefused = 0;
    std::uint64_t crashes = 0;
    /// Requests running at the same time.
    int peakInFlight = 0;
    int peakInFlightCold = 0;
    /// Starts above the cold limit.
    std::uint64_t coldOverload = 0;
    /// Starts later than the grace period after the target announced that it drains.
    std::uint64_t startAfterDraining = 0;
    /// Starts after the time set with noWorkAfterMs.
    std::uint64_t startAfterForbidden = 0;
    std::chrono::steady_clock::time_point since = std::chrono::steady_clock::now();
};

/// The counts for the report; \a slots gives the slot time that probes are compared with.
nlohmann::json toJson(const TargetCounts &counts, int slots);

} // namespace lycheebay::standins
