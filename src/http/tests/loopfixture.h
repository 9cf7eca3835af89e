#pragma once

#include "base/systemclock.h"
#include "http/looptimerservice.h"

#include <asio/io_context.hpp>

#include <functional>

namespace lycheebay {

/// An event loop that a test runs until a condition holds.
struct LoopFixture
{
    /// Runs handlers until \a condition is true or a generous deadline passed; returns whether it
    /// is true.
    bool runUntil(const std::function<bool()> &condition)
    {
        const TimePoint deadline = clock.now() + std::chrono::seconds(20);
        while (!condition() && clock.now() < deadline) {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    /// Runs handlers for \a span.
    void runFor(Duration span)
    {
        const TimePoint end = clock.now() + span;
        runUntil([&] { return clock.now() >= end; });
    }

    asio::io_context context{ 1 };
    SystemClock clock;
    LoopTimerService timers{ context };
};

} // namespace lycheebay
