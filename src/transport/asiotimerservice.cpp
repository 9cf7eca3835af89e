#include "transport/asiotimerservice.h"

#include "transport/internal/ioloop.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>

namespace lycheebay {

namespace {

using Clock = std::chrono::steady_clock;

class Timer : public std::enable_shared_from_this<Timer>
{
public:
    Timer(asio::io_context &context, Duration period, std::function<void()> callback)
        : m_timer(context)
        , m_period(period)
        , m_callback(std::move(callback))
    {}

    void arm(TimePoint due)
    {
        m_due = due;
        m_timer.expires_at(due);
        m_timer.async_wait([self = shared_from_this()](asio::error_code ec) { self->expired(ec); });
    }

    /// Only sets a flag and does not access the loop, so that a subscription may outlive the
    /// service. Thread-safe.
    void cancel() { m_cancelled = true; }

private:
    void expired(asio::error_code ec)
    {
        if (ec || m_cancelled)
            return;
        m_callback();
        // After a pause of the process, the callback runs once, not once per missed period.
        if (m_period > Duration::zero() && !m_cancelled)
            arm(std::max(m_due + m_period, Clock::now()));
    }

    asio::steady_timer m_timer;
    const Duration m_period;
    const std::function<void()> m_callback;
    TimePoint m_due;
    std::atomic<bool> m_cancelled = false;
};

class Subscription final : public ITimerSubscription
{
public:
    explicit Subscription(std::weak_ptr<Timer> timer)
        : m_timer(std::move(timer))
    {}
    ~Subscription() override
    {
        if (const auto timer = m_timer.lock())
            timer->cancel();
    }
    Subscription(const Subscription &) = delete;
    Subscription &operator=(const Subscription &) = delete;

private:
    std::weak_ptr<Timer> m_timer;
};

} // namespace

TimerSubscription AsioTimerService::every(Duration period, std::function<void()> callback)
{
    return subscribe(period, period, std::move(callback));
}

TimerSubscription AsioTimerService::after(Duration delay, std::function<void()> callback)
{
    return subscribe(delay, Duration::zero(), std::move(callback));
}

TimerSubscription AsioTimerService::subscribe(Duration delay, Duration period,
                                              std::function<void()> callback)
{
    asio::io_context &context = m_thread.loop().context;
    const auto timer = std::make_shared<Timer>(context, period, std::move(callback));
    const TimePoint due = Clock::now() + delay;
    asio::post(context, [timer, due] { timer->arm(due); });
    return std::make_unique<Subscription>(timer);
}

} // namespace lycheebay
