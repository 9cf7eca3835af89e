#pragma once

#include "base/iclock.h"

#include <atomic>

namespace lycheebay {

/// A clock that moves only when told to, for tests and replays. Thread-safe.
class ManualClock final : public IClock
{
public:
    TimePoint now() const override { return TimePoint(Duration(m_elapsed.load())); }
    WallTime wallNow() const override
    {
        const Duration elapsed(m_elapsed.load());
        return WallTime(kWallStart
                        + std::chrono::duration_cast<std::chrono::milliseconds>(elapsed));
    }

    /// Moves both clocks forward. Precondition: \a step is not negative.
    void advance(Duration step) { m_elapsed += step.count(); }

private:
    static constexpr std::chrono::milliseconds kWallStart{ 1'700'000'000'000 };

    // Starts at one hour so that "now minus a while" stays positive.
    std::atomic<Duration::rep> m_elapsed{ Duration(std::chrono::hours(1)).count() };
};

} // namespace lycheebay
