#pragma once

#include "base/cancellation.h"
#include "base/iclock.h"
#include "outcomes/httpmessage.h"
#include "routing/routingtypes.h"

#include <functional>
#include <memory>

namespace lycheebay {

struct TargetClientSettings
{
    /// Equals the default limit per target in an estate.
    std::size_t maxConnectionsPerTarget = 250;
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Less than the five seconds after which many servers close idle connections: a request that
    /// is sent while the server closes the connection is lost.
    Duration idleTimeout = std::chrono::seconds(4);
    std::size_t maxResponseBytes = 16u << 20;
};

/// Result of one exchange, as far as the client can tell.
struct ExchangeResult
{
    AttemptResult result;
    /// Set when a complete response arrived, that is for Succeeded, Failed and Shed.
    std::shared_ptr<const HttpResponse> response;
    /// Whether a byte of the request may have been sent. If false, the target has certainly not
    /// started the request.
    bool sent = false;
    /// Whether any byte of a response was received.
    bool responseBegan = false;
};

/// Called right before the first byte of a request is sent. If it returns false, or if the deadline
/// has passed, nothing is sent and the outcome is Cancelled.
using SendPredicate = std::function<bool(TimePoint now)>;

/// Sends requests to targets and other entries over a pool of persistent connections, without
/// pipelining. A connection is reused only after a complete response with no bytes after it.
/// Thread-safe.
class TargetClient
{
public:
    explicit TargetClient(const TargetClientSettings &settings);
    ~TargetClient();
    TargetClient(const TargetClient &) = delete;
    TargetClient &operator=(const TargetClient &) = delete;

    /// Sends \a request with its end-to-end headers and blocks until the response is complete, at
    /// most until \a deadline. Sends nothing, with the outcome Cancelled, when the target already
    /// has maxConnectionsPerTarget connections in use. \a cancellation may be null, \a maySend
    /// empty.
    ExchangeResult exchange(const Address &address, const HttpRequest &request, TimePoint deadline,
                            const Cancellation *cancellation, const SendPredicate &maySend);

    /// Closes connections that have been idle for idleTimeout or longer. To be called about once a
    /// second.
    void closeIdle();
    /// Returns the number of idle connections and those in use.
    std::size_t openCount(const Address &address) const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheebay
