#pragma once

#include "base/iclock.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace lycheebay {

/// A small thread pool whose tasks start at a given time or later. Thread-safe.
class DelayedWorkers
{
public:
    explicit DelayedWorkers(std::size_t threads);
    /// Drops what has not begun and waits for what has.
    ~DelayedWorkers();
    DelayedWorkers(const DelayedWorkers &) = delete;
    DelayedWorkers &operator=(const DelayedWorkers &) = delete;

    /// Returns false, and drops \a task, when too many tasks wait. An exception of
    /// a task is logged.
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
