#pragma once

#include "transport/internal/deadlinestream.h"
#include "transport/targetclient.h"

namespace lycheebay {

/// One connection to a target. Used by one thread at a time.
class TargetConnection
{
public:
    TargetConnection() = default;
    ~TargetConnection();
    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;

    /// Connects; on failure nothing was sent.
    StreamState connect(const Address &address, TimePoint deadline,
                        const Cancellation *cancellation);
    /// Tells whether the connection is open and nothing came since the last exchange.
    bool isClean() const;

    /// Precondition: connected. Fills everything of \a answer but its latency. Returns whether the
    /// connection may be used again.
    bool exchange(const Address &address, const HttpRequest &request, TimePoint deadline,
                  const Cancellation *cancellation, std::size_t maxResponseBytes,
                  ExchangeResult &answer);

    TimePoint idleSince() const { return m_idleSince; }
    void setIdleSince(TimePoint since) { m_idleSince = since; }

private:
    int m_socket = -1;
    TimePoint m_idleSince;
};

} // namespace lycheebay
