#pragma once

#include <memory>

namespace lycheebay {

/// A thread that runs an event loop, which several transports may share. Thread-safe.
class IoThread
{
public:
    IoThread();
    /// Waits for the running handler and discards pending ones. Precondition: not called on the
    /// thread itself; all users of the loop are stopped.
    ~IoThread();
    IoThread(const IoThread &) = delete;
    IoThread &operator=(const IoThread &) = delete;

    struct Loop;
    /// Internal to the transport module.
    Loop &loop() { return *m_loop; }

private:
    std::unique_ptr<Loop> m_loop;
};

} // namespace lycheebay
