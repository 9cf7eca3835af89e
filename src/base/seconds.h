#pragma once

#include "base/iclock.h"

namespace lycheebay {

/// Converts a duration to seconds for estimates and display.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Converts a duration to milliseconds for display.
constexpr double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Converts seconds of an estimate to a duration. Precondition: fits in 64 bits of nanoseconds.
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace lycheebay
