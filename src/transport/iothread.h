#pragma once

#include <memory>

namespace lycheebay {

/// A thread that runs an event loop; transports share it. Thread-safe.
class IoThread
{
public:
    IoThread();
    /// Waits for the running handler and drops the others. Precondition: not called on the thread
    /// itself; the users of the loop are stopped.
    ~IoThread();
    IoThread(const IoThread &) = delete;
    IoThread &operator=(const IoThread &) = delete;

    struct Loop;
    /// For the implementations in this module.
    Loop &loop() { return *m_loop; }

private:
    std::unique_ptr<Loop> m_loop;
};

} // namespace lycheebay
