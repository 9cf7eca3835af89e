#pragma once

#include "http/httpconnectionpool.h"

#include <map>

namespace lycheebay {

/// Connections to the other instances, over which requests are forwarded. Not thread-safe: use it
/// on the event loop.
class InstanceConnections final
{
public:
    InstanceConnections(asio::io_context &context, ITimerService &timers, const IClock &clock)
        : m_context(context)
        , m_timers(timers)
        , m_clock(clock)
    {}

    /// Returns an idle connection to the instance, or a new one. Return it with release().
    IntrusivePtr<HttpClientConnection> acquire(const Address &address);
    /// Returns a connection. Precondition: it has no request in flight.
    void release(const Address &address, const IntrusivePtr<HttpClientConnection> &connection);
    /// Closes connections that have been idle for too long.
    void closeIdle();

private:
    HttpConnectionPool &poolOf(const Address &address);

    asio::io_context &m_context;
    ITimerService &m_timers;
    const IClock &m_clock;
    std::map<Address, HttpConnectionPool> m_pools;
};

} // namespace lycheebay
