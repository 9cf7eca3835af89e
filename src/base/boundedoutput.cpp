#include "base/boundedoutput.h"

#include <fmt/format.h>

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace lycheebay {

BoundedOutput::BoundedOutput(int fd, std::size_t maxPendingBytes)
    : m_fd(fd)
    , m_maxPendingBytes(maxPendingBytes)
{
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
}

void BoundedOutput::writeLine(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    flush();
    if (m_dropped > m_reportedDropped
        && add(fmt::format("event=log_lines_dropped count={}", m_dropped - m_reportedDropped)))
        m_reportedDropped = m_dropped;
    if (!add(line))
        ++m_dropped;
    flush();
}

std::uint64_t BoundedOutput::droppedLines() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

bool BoundedOutput::add(std::string_view line)
{
    if (m_pending.size() + line.size() + 1 > m_maxPendingBytes)
        return false;
    m_pending += line;
    m_pending += '\n';
    return true;
}

void BoundedOutput::flush()
{
    while (!m_pending.empty()) {
        const ssize_t n = ::write(m_fd, m_pending.data(), m_pending.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return; // The reader is slow or gone; the lines wait or are dropped later.
        m_pending.erase(0, static_cast<std::size_t>(n));
    }
}

} // namespace lycheebay
