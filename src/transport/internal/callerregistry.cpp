#include "transport/internal/callerregistry.h"

#include <sys/socket.h>

namespace lycheebay {

CallerRegistry::Connection::Connection(CallerRegistry &registry, int socket)
    : m_registry(registry)
    , m_socket(socket)
    , m_memory(registry.m_memory, [this] { end(); })
    , m_waitsSince(std::chrono::steady_clock::now())
{
    const std::lock_guard lock(m_registry.m_mutex);
    m_registry.m_connections.pushBack(this);
}

CallerRegistry::Connection::~Connection()
{
    const std::lock_guard lock(m_registry.m_mutex);
    unlink();
    m_memory.resize(0);
}

void CallerRegistry::Connection::wait()
{
    const std::lock_guard lock(m_registry.m_mutex);
    m_isWaiting = true;
    m_waitsSince = std::chrono::steady_clock::now();
    unlink();
    m_registry.m_connections.pushBack(this);
}

void CallerRegistry::Connection::work()
{
    const std::lock_guard lock(m_registry.m_mutex);
    m_isWaiting = false;
}

void CallerRegistry::Connection::hold(std::size_t bytes)
{
    const std::lock_guard lock(m_registry.m_mutex);
    if (!m_isEnded)
        m_memory.resize(bytes);
}

bool CallerRegistry::Connection::isEnded() const
{
    const std::lock_guard lock(m_registry.m_mutex);
    return m_isEnded;
}

void CallerRegistry::Connection::end()
{
    m_isEnded = true;
    m_memory.resize(0);
    // The thread of the connection wakes up and can still send a refusal. One that sends a response
    // cannot go on.
    ::shutdown(m_socket, m_isWaiting ? SHUT_RD : SHUT_RDWR);
}

CallerRegistry::CallerRegistry(std::size_t maxBytes)
    : m_memory(maxBytes, MessageMemory::SingleMessage::Kept)
{}

bool CallerRegistry::endLongestWait(Duration span)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint latest = std::chrono::steady_clock::now() - span;
    for (Connection *it = m_connections.front(); it; it = m_connections.next(it)) {
        if (!it->m_isWaiting || it->m_isEnded || it->m_waitsSince > latest)
            continue;
        it->end();
        return true;
    }
    return false;
}

} // namespace lycheebay
