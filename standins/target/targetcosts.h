#pragma once

#include <chrono>

namespace lycheebay::standins {

/// Slot time that a new connection and a probe cost a target, as the design states them.
inline constexpr std::chrono::milliseconds kConnectionCost(1);
inline constexpr std::chrono::milliseconds kProbeCost(6);

} // namespace lycheebay::standins
