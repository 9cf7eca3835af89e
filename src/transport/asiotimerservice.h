#pragma once

#include "base/itimerservice.h"
#include "transport/iothread.h"

namespace lycheebay {

/// The timer service on an event loop with a thread of its own.
class AsioTimerService final : public ITimerService
{
public:
    /// Precondition: a callback that throws ends the process, so none may.
    TimerSubscription every(Duration period, std::function<void()> callback) override;
    TimerSubscription after(Duration delay, std::function<void()> callback) override;

private:
    TimerSubscription subscribe(Duration delay, Duration period, std::function<void()> callback);

    IoThread m_thread;
};

} // namespace lycheebay
