#include "base/periodicthread.h"

namespace lycheebay {

PeriodicThread::PeriodicThread(Duration period, std::function<void()> run)
    : m_period(period)
    , m_run(std::move(run))
    , m_thread([this] { loop(); })
{}

PeriodicThread::~PeriodicThread()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void PeriodicThread::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        m_woken = true;
    }
    m_changed.notify_all();
}

void PeriodicThread::loop()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        m_woken = false;
        lock.unlock();
        m_run();
        lock.lock();
        m_changed.wait_for(lock, m_period, [this] { return m_stopped || m_woken; });
    }
}

} // namespace lycheebay
