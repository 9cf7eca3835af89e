#include "transport/internal/connectionthreads.h"

#include <system_error>

namespace lycheebay {

void ConnectionThreads::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_idle < m_tasks.size() && m_threads.size() < m_maxThreads) {
        try {
            m_threads.emplace_back([this] { run(); });
        } catch (const std::system_error &) {
            // Without another thread the connection waits for one that ends.
        }
    }
    m_changed.notify_one();
}

void ConnectionThreads::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

void ConnectionThreads::run()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++m_idle;
        m_changed.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        --m_idle;
        if (m_tasks.empty())
            return;
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace lycheebay
