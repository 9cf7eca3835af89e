#pragma once

#include "base/iclock.h"
#include "outcomes/httpmessage.h"
#include "routing/routingtypes.h"
#include "transport/cancellation.h"

#include <functional>
#include <memory>

namespace lycheebay {

struct TargetClientSettings
{
    /// The default of what an estate allows per target.
    std::size_t maxConnectionsPerTarget = 250;
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Below the five seconds after which many servers close an idle connection, because a request
    /// that meets the close is lost.
    Duration idleLife = std::chrono::seconds(4);
    std::size_t maxResponseBytes = 16u << 20;
};

/// How one exchange ended, as far as this side can know.
struct ExchangeResult
{
    AttemptResult result;
    /// Set when the outcome is Answered or Failed, and for Shed.
    std::shared_ptr<const HttpResponse> response;
    /// False only if no byte of the request can have left, so that it certainly did not run.
    bool sent = false;
    /// Whether any byte of a response came.
    bool responseBegan = false;
};

/// Asked right before the first byte of a request is sent; false prevents the send, as a passed
/// deadline does, and the answer is Cancelled and not sent.
using SendGate = std::function<bool(TimePoint now)>;

/// Exchanges requests with targets and other entries over kept connections, one exchange at a time
/// on each. A connection is used again only after a whole response with nothing behind it.
/// Thread-safe.
class TargetClient
{
public:
    explicit TargetClient(const TargetClientSettings &settings);
    ~TargetClient();
    TargetClient(const TargetClient &) = delete;
    TargetClient &operator=(const TargetClient &) = delete;

    /// Sends \a request with its end-to-end headers and waits for the response, at most until
    /// \a deadline. \a cancellation may be null. Blocks.
    ExchangeResult exchange(const Address &address, const HttpRequest &request, TimePoint deadline,
                            const Cancellation *cancellation, const SendGate &gate);

    /// Closes connections that were idle for too long; call about once a second.
    void closeIdle();
    std::size_t openCount(const Address &address) const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheebay
