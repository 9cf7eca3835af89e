#pragma once

#include <httplib.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace lycheebay {

/// Runs each connection on a thread of its own; threads are started on demand, kept and bounded.
/// httplib's own pool has 8 threads, and an idle keep-alive connection occupies one.
class ConnectionThreads final : public httplib::TaskQueue
{
public:
    explicit ConnectionThreads(std::size_t maxThreads)
        : m_maxThreads(maxThreads)
    {}

    void enqueue(std::function<void()> task) override;
    /// Runs what is queued and waits for all threads.
    void shutdown() override;

private:
    void run();

    const std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace lycheebay
