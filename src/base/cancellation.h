#pragma once

#include <atomic>

namespace lycheebay {

/// Flag by which one thread interrupts the blocking calls of others. Thread-safe.
class Cancellation
{
public:
    /// If no file descriptor is left, descriptor() returns -1, and a waiting thread notices the
    /// cancellation only when it calls isCancelled() again.
    Cancellation();
    ~Cancellation();
    Cancellation(const Cancellation &) = delete;
    Cancellation &operator=(const Cancellation &) = delete;

    void cancel();
    bool isCancelled() const { return m_cancelled.load(); }
    /// Returns a file descriptor for poll() that becomes readable on cancel() and stays readable,
    /// or -1 if none could be created.
    int descriptor() const { return m_descriptor; }

private:
    std::atomic<bool> m_cancelled{ false };
    int m_descriptor = -1;
};

} // namespace lycheebay
