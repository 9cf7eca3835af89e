#include "entry/internal/scheduledthreadpool.h"

#include "base/log.h"

namespace lycheebay {

namespace {

constexpr std::size_t kMaxTasks = 10'000;

} // namespace

ScheduledThreadPool::ScheduledThreadPool(std::size_t threads)
{
    for (std::size_t i = 0; i < threads; ++i)
        m_threads.emplace_back([this] { run(); });
}

ScheduledThreadPool::~ScheduledThreadPool()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

bool ScheduledThreadPool::schedule(TimePoint start, std::function<void()> task)
{
    bool isFirst = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_tasks.size() >= kMaxTasks || m_stopping)
            return false;
        const auto it = m_tasks.emplace(start, std::move(task));
        isFirst = it == m_tasks.begin();
    }
    // Threads wait for the earliest task, so only a new earliest one changes their wait.
    if (isFirst)
        m_changed.notify_one();
    return true;
}

void ScheduledThreadPool::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_tasks.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const TimePoint first = m_tasks.begin()->first;
        if (first > std::chrono::steady_clock::now()) {
            m_changed.wait_until(lock, first);
            continue;
        }
        const auto node = m_tasks.extract(m_tasks.begin());
        // Another thread takes the next task; it may still be waiting for the start time of this
        // one.
        if (!m_tasks.empty())
            m_changed.notify_one();
        lock.unlock();
        try {
            node.mapped()();
        } catch (const std::exception &e) {
            LOG4CPLUS_ERROR(componentLogger("entry"), "background task failed: " << e.what());
        }
        lock.lock();
    }
}

} // namespace lycheebay
