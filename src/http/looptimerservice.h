#pragma once

#include "base/itimerservice.h"

#include <asio/io_context.hpp>

namespace lycheebay {

/// The timer service of an event loop that its owner runs. Callbacks run on that loop. Unlike other
/// timer services it is not thread-safe: subscribe and cancel on the loop's thread only.
/// Precondition: the loop outlives the service and all subscriptions.
class LoopTimerService final : public ITimerService
{
public:
    explicit LoopTimerService(asio::io_context &context)
        : m_context(context)
    {}

    TimerSubscription every(Duration period, std::function<void()> callback) override;
    TimerSubscription after(Duration delay, std::function<void()> callback) override;

private:
    TimerSubscription subscribe(Duration delay, Duration period, std::function<void()> callback);

    asio::io_context &m_context;
};

} // namespace lycheebay
