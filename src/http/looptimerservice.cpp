#include "http/looptimerservice.h"

#include "base/intrusiveptr.h"

#include <asio/steady_timer.hpp>

#include <algorithm>

namespace lycheebay {

namespace {

class LoopTimer final : public RefCounted
{
public:
    LoopTimer(asio::io_context &context, Duration period, std::function<void()> callback)
        : m_timer(context)
        , m_period(period)
        , m_callback(std::move(callback))
    {}

    void arm(TimePoint due)
    {
        m_due = due;
        m_timer.expires_at(due);
        m_timer.async_wait([self = IntrusivePtr<LoopTimer>(this)](asio::error_code ec) {
            if (!ec)
                self->expire();
        });
    }

    void cancel()
    {
        m_cancelled = true;
        m_timer.cancel();
    }

private:
    void expire()
    {
        if (m_cancelled)
            return;
        m_callback();
        // A process that was paused runs a periodic callback once, not once per missed period.
        if (m_period > Duration::zero() && !m_cancelled)
            arm(std::max(m_due + m_period, std::chrono::steady_clock::now()));
    }

    asio::steady_timer m_timer;
    const Duration m_period;
    const std::function<void()> m_callback;
    TimePoint m_due;
    bool m_cancelled = false;
};

class LoopSubscription final : public ITimerSubscription
{
public:
    explicit LoopSubscription(IntrusivePtr<LoopTimer> timer)
        : m_timer(std::move(timer))
    {}
    ~LoopSubscription() override { m_timer->cancel(); }
    LoopSubscription(const LoopSubscription &) = delete;
    LoopSubscription &operator=(const LoopSubscription &) = delete;

private:
    IntrusivePtr<LoopTimer> m_timer;
};

} // namespace

TimerSubscription LoopTimerService::every(Duration period, std::function<void()> callback)
{
    return subscribe(period, period, std::move(callback));
}

TimerSubscription LoopTimerService::after(Duration delay, std::function<void()> callback)
{
    return subscribe(delay, Duration::zero(), std::move(callback));
}

TimerSubscription LoopTimerService::subscribe(Duration delay, Duration period,
                                              std::function<void()> callback)
{
    auto timer = makeRef<LoopTimer>(m_context, period, std::move(callback));
    timer->arm(std::chrono::steady_clock::now() + delay);
    return std::make_unique<LoopSubscription>(std::move(timer));
}

} // namespace lycheebay
