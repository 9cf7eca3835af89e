#pragma once

#include "base/iclock.h"
#include "base/intrusivelist.h"
#include "http/messagememory.h"

#include <mutex>

namespace lycheebay {

/// The open connections of a server and the memory that their messages hold. Ends connections that
/// wait for their callers when their room is needed. Thread-safe.
class CallerRegistry final
{
public:
    /// One connection, used by its own thread. It gives way to no other until wait() is called.
    class Connection final : public ListNode<CallerRegistry>
    {
    public:
        /// Precondition: \a socket stays open, and \a registry valid, as long as the connection.
        Connection(CallerRegistry &registry, int socket);
        ~Connection();
        Connection(const Connection &) = delete;
        Connection &operator=(const Connection &) = delete;

        /// Tells that the connection waits for its caller from now on.
        void wait();
        /// Tells that the server works on the request, or sends its response.
        void work();
        /// Sets how many bytes the messages of the connection hold. May end this connection, whose
        /// stream then ends like one whose caller has gone, and others.
        void hold(std::size_t bytes);
        /// True if the connection was ended for the room of others.
        bool isEnded() const;

    private:
        friend class CallerRegistry;

        /// Precondition: the registry is locked.
        void end();

        CallerRegistry &m_registry;
        const int m_socket;
        MessageMemory::Share m_memory;
        TimePoint m_waitsSince;
        bool m_isWaiting = false;
        bool m_isEnded = false;
    };

    /// \a maxBytes bounds what all connections hold together; one message may exceed it alone.
    explicit CallerRegistry(std::size_t maxBytes);
    CallerRegistry(const CallerRegistry &) = delete;
    CallerRegistry &operator=(const CallerRegistry &) = delete;

    /// Ends the connection that has waited for its caller the longest. Returns false if none has
    /// waited for \a span.
    bool endLongestWait(Duration span);

private:
    class Memory final : public MessageMemory
    {
    public:
        using MessageMemory::MessageMemory;
    };

    mutable std::mutex m_mutex;
    Memory m_memory;
    /// In the order in which they began to wait or to work.
    IntrusiveList<Connection, CallerRegistry> m_connections;
};

} // namespace lycheebay
