#pragma once

#include "base/iclock.h"

namespace lycheebay {

/// The clocks of the operating system. Thread-safe.
class SystemClock final : public IClock
{
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now());
    }
};

} // namespace lycheebay
