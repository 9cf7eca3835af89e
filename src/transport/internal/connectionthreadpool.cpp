#include "transport/internal/connectionthreadpool.h"

#include <system_error>

namespace lycheebay {

void ConnectionThreadPool::enqueue(std::function<void()> task)
{
    std::unique_lock lock(m_mutex);
    m_hasRoom.wait(lock, [this] { return m_tasks.size() < m_maxQueued; });
    m_tasks.push_back(std::move(task));
    if (m_idleThreads < m_tasks.size() && m_threads.size() < m_maxThreads) {
        try {
            m_threads.emplace_back([this] { runTasks(); });
        } catch (const std::system_error &) {
            // The system has no more threads. The task waits until a running one ends.
        }
    }
    m_wakeUp.notify_one();
}

void ConnectionThreadPool::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

void ConnectionThreadPool::runTasks()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++m_idleThreads;
        m_wakeUp.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        --m_idleThreads;
        if (m_tasks.empty())
            return;
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        m_hasRoom.notify_one();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace lycheebay
