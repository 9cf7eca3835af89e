#pragma once

#include <atomic>

namespace lycheebay {

/// Lets one thread interrupt the blocking calls of others. Thread-safe.
class Cancellation
{
public:
    /// On exhausted file descriptors the interruption is only seen between two blocking calls.
    Cancellation();
    ~Cancellation();
    Cancellation(const Cancellation &) = delete;
    Cancellation &operator=(const Cancellation &) = delete;

    void cancel();
    bool isCancelled() const { return m_cancelled.load(); }
    /// A descriptor that becomes readable by cancel() and stays so; -1 when there is none.
    int descriptor() const { return m_descriptor; }

private:
    std::atomic<bool> m_cancelled{ false };
    int m_descriptor = -1;
};

} // namespace lycheebay
