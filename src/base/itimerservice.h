#pragma once

#include "base/iclock.h"

#include <functional>
#include <memory>

namespace lycheebay {

/// Keeps a timer alive; destroying it cancels the timer. A callback that already runs may still
/// finish.
class ITimerSubscription
{
public:
    virtual ~ITimerSubscription() = default;
};

using TimerSubscription = std::unique_ptr<ITimerSubscription>;

/// The timer service that components subscribe to. Thread-safe. Callbacks run on the service's own
/// thread and must not block.
class ITimerService
{
public:
    virtual ~ITimerService() = default;

    /// Calls \a callback every \a period until the subscription is destroyed. Precondition: period
    /// > 0.
    virtual TimerSubscription every(Duration period, std::function<void()> callback) = 0;
    /// Calls \a callback once, after \a delay.
    virtual TimerSubscription after(Duration delay, std::function<void()> callback) = 0;
};

} // namespace lycheebay
