#pragma once

#include "base/iclock.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace lycheebay {

/// Thread pool whose tasks start at a given time or as soon as a thread is free afterwards.
/// Thread-safe.
class ScheduledThreadPool
{
public:
    explicit ScheduledThreadPool(std::size_t threads);
    /// Discards tasks that have not started and waits for running ones.
    ~ScheduledThreadPool();
    ScheduledThreadPool(const ScheduledThreadPool &) = delete;
    ScheduledThreadPool &operator=(const ScheduledThreadPool &) = delete;

    /// Returns false and discards \a task if too many tasks are waiting. Exceptions thrown by tasks
    /// are logged.
    bool schedule(TimePoint start, std::function<void()> task);

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<TimePoint, std::function<void()>> m_tasks;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace lycheebay
