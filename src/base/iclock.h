#pragma once

#include <chrono>

namespace lycheebay {

using Duration = std::chrono::nanoseconds;
/// Monotonic time; it advances while the process is stopped, so a resumed process sees the gap.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Wall-clock time in milliseconds since the Unix epoch.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Source of time. All decisions take their time from here, so that tests can set it.
class IClock
{
public:
    virtual ~IClock() = default;

    /// Returns the monotonic time. Thread-safe.
    virtual TimePoint now() const = 0;
    /// Returns the wall-clock time. Thread-safe.
    virtual WallTime wallNow() const = 0;
};

} // namespace lycheebay
