#pragma once

#include "http/internal/blockingconnection.h"
#include "transport/targetclient.h"

namespace lycheebay {

/// Persistent connection to a target or another entry. Not thread-safe.
class TargetConnection
{
public:
    TargetConnection() = default;
    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;

    /// Returns Open, or why the connection could not be established.
    StreamState connect(const Address &address, TimePoint deadline,
                        const Cancellation *cancellation)
    {
        return m_connection.connect(address, deadline, cancellation);
    }
    /// Returns whether the connection is open and no bytes arrived since the last exchange.
    bool isReusable() const { return m_connection.isReusable(); }

    /// Sends \a request and receives the response. Fills \a exchangeResult except for its latency.
    /// Returns whether the connection may be reused. Precondition: connected.
    bool exchange(const Address &address, const HttpRequest &request, TimePoint deadline,
                  const Cancellation *cancellation, std::size_t maxResponseBytes,
                  ExchangeResult &exchangeResult);

    TimePoint idleSince() const { return m_idleSince; }
    void setIdleSince(TimePoint since) { m_idleSince = since; }

private:
    BlockingConnection m_connection;
    TimePoint m_idleSince;
};

} // namespace lycheebay
