#pragma once

#include <httplib.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace lycheebay {

/// Thread pool that runs each connection on a thread of its own. Threads are started on demand, up
/// to a maximum, and reused. httplib's own pool has 8 threads, and each idle keep-alive connection
/// occupies one of them.
class ConnectionThreadPool final : public httplib::TaskQueue
{
public:
    /// \a maxQueued bounds the tasks that wait for a thread. Further connections wait in the
    /// listener's backlog, where they take no descriptor.
    ConnectionThreadPool(std::size_t maxThreads, std::size_t maxQueued)
        : m_maxThreads(maxThreads)
        , m_maxQueued(maxQueued)
    {}

    /// Waits while too many tasks are queued.
    void enqueue(std::function<void()> task) override;
    /// Runs the queued tasks and joins all threads.
    void shutdown() override;

private:
    void runTasks();

    const std::size_t m_maxThreads;
    const std::size_t m_maxQueued;
    std::mutex m_mutex;
    /// Notified when a task is queued and on shutdown.
    std::condition_variable m_wakeUp;
    /// Notified when a queued task starts.
    std::condition_variable m_hasRoom;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idleThreads = 0;
    bool m_stopping = false;
};

} // namespace lycheebay
