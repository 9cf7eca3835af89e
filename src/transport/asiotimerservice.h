#pragma once

#include "base/itimerservice.h"
#include "transport/iothread.h"

namespace lycheebay {

/// Runs timers on a dedicated event loop thread.
class AsioTimerService final : public ITimerService
{
public:
    /// Precondition: \a callback does not throw; an exception would terminate the process.
    TimerSubscription every(Duration period, std::function<void()> callback) override;
    TimerSubscription after(Duration delay, std::function<void()> callback) override;

private:
    TimerSubscription subscribe(Duration delay, Duration period, std::function<void()> callback);

    IoThread m_thread;
};

} // namespace lycheebay
