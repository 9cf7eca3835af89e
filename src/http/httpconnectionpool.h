#pragma once

#include "http/httpclientconnection.h"

namespace lycheebay {

/// Idle connections to one server. Not thread-safe: use it on its event loop.
class HttpConnectionPool final
{
public:
    HttpConnectionPool(asio::io_context &context, ITimerService &timers, const IClock &clock,
                       const Address &address, const ClientConnectionOptions &options);
    ~HttpConnectionPool();
    HttpConnectionPool(const HttpConnectionPool &) = delete;
    HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

    /// Returns an idle connection that was used less than \a maxIdle ago, or a new one, which
    /// connects with its first request. Give it back with release().
    IntrusivePtr<HttpClientConnection> acquire(Duration maxIdle);
    /// Takes back a connection that carries no exchange.
    void release(const IntrusivePtr<HttpClientConnection> &connection);
    /// Closes connections that were not used for \a maxIdle, or that the server may close soon.
    void closeIdle(Duration maxIdle);

    const Address &address() const { return m_address; }
    /// True if the pool holds no idle connection.
    bool isEmpty() const { return !m_idle.front(); }

private:
    static void drop(HttpClientConnection *connection);

    asio::io_context &m_context;
    ITimerService &m_timers;
    const IClock &m_clock;
    const Address m_address;
    const ClientConnectionOptions m_options;
    /// In order of use, the latest first.
    IntrusiveList<HttpClientConnection, HttpClientConnection> m_idle;
};

} // namespace lycheebay
