#pragma once

#include "base/iclock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace lycheebay {

/// Runs a function that may block, again and again, on a thread of its own. The pause between two
/// runs is the period; a run that takes longer delays the next one.
class PeriodicThread
{
public:
    /// Starts at once. Precondition: \a run does not throw.
    PeriodicThread(Duration period, std::function<void()> run);
    /// Waits for a run in progress.
    ~PeriodicThread();
    PeriodicThread(const PeriodicThread &) = delete;
    PeriodicThread &operator=(const PeriodicThread &) = delete;

    /// Starts the next run now instead of at the end of the pause. Thread-safe.
    void wake();

private:
    void loop();

    const Duration m_period;
    const std::function<void()> m_run;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopped = false;
    bool m_woken = false;
    std::thread m_thread;
};

} // namespace lycheebay
