#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

namespace lycheebay::standins {

/// Starts, signals, reaps and measures one process. Signals are sent only to processes that this
/// class started. Not thread-safe.
class ChildProcess final
{
public:
    struct Settings
    {
        std::string program;
        std::vector<std::string> arguments;
        /// Environment variables, as NAME=VALUE. Nothing else is inherited.
        std::vector<std::string> environment;
        /// File to which standard output and standard error are appended.
        std::string log;
    };

    explicit ChildProcess(Settings settings);
    /// Kills the process if it is running and waits for it.
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Starts the process. Precondition: it is not running. Throws std::runtime_error if the system
    /// has no room for it.
    void start();
    /// Sends a signal if the process is running.
    void sendSignal(int number);
    /// Returns true if the process is running. Reaps the process if it has exited.
    bool isRunning();
    /// Returns true if a process ended without SIGKILL or SIGTERM from sendSignal().
    bool exitedUnexpectedly() const { return m_exitedUnexpectedly; }

    /// Largest resident memory so far, in bytes (VmHWM of proc(5)). Precondition: the process is
    /// running.
    std::size_t peakMemory() const;
    /// Number of open descriptors. Precondition: the process is running.
    std::size_t descriptorCount() const;

private:
    const Settings m_settings;
    pid_t m_pid = 0;
    bool m_exitExpected = false;
    bool m_exitedUnexpectedly = false;
};

} // namespace lycheebay::standins
