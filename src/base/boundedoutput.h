#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace lycheebay {

/// Writes lines to a file descriptor without ever blocking. What the reader does not take is kept
/// up to a bound; further lines are dropped and counted, and a line tells how many once there is
/// room. Thread-safe.
class BoundedOutput
{
public:
    /// Precondition: \a fd is open; it is switched to non-blocking mode.
    BoundedOutput(int fd, std::size_t maxPendingBytes);

    /// Adds a line; \a line has no line break.
    void writeLine(std::string_view line);

    /// Lines that were dropped since the start.
    std::uint64_t droppedLines() const;

private:
    void flush();
    bool add(std::string_view line);

    const int m_fd;
    const std::size_t m_maxPendingBytes;
    mutable std::mutex m_mutex;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

} // namespace lycheebay
