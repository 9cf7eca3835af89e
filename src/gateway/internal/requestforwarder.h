#pragma once

#include "gateway/dispatcherselector.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/instanceconnections.h"

#include <functional>

namespace lycheebay {

/// Header field of a request that another instance forwarded; it is not forwarded again. Its value
/// is kForwardedToOwner, or the region of the instance if that had no room.
constexpr char kForwardedHeader[] = "Lycheebay-Forwarded";
constexpr char kForwardedToOwner[] = "-";
/// Header field of the response to a forwarded request that is not a target's response. Its value
/// is one of the next three constants.
constexpr char kForwardOutcomeHeader[] = "Lycheebay-Forward-Outcome";
constexpr char kNotRunOutcome[] = "not-run";
constexpr char kRejectedOutcome[] = "rejected";
constexpr char kUnknownOutcome[] = "unknown";
/// Header field of a target's response to a forwarded request: the key of the target if it leaves.
constexpr char kLeavingTargetHeader[] = "Lycheebay-Leaving-Target";

/// True if another instance forwarded the request to this one.
bool isForwarded(const HttpRequest &request);

/// Returns the region of the instance that forwarded the request for lack of room; empty if none
/// did.
std::string overflowOrigin(const HttpRequest &request);

/// How the forwarding of a request ended.
enum class ForwardOutcome {
    Response, ///< a target responded
    NotRun,   ///< dispatchers refused the request; no target got it
    Rejected, ///< targets rejected the request; sending it to another one would be a retry
    NotSent,  ///< no dispatcher could be reached
    Unknown,  ///< a target may have run the request
};

/// Forwards one request to other dispatchers, one after the other, until one accepts it. Not
/// thread-safe: use it on the event loop.
class RequestForwarder final : public RefCounted
{
public:
    /// \a response is set if a target responded, \a retryAfter if the request was refused.
    using Done =
            std::function<void(ForwardOutcome outcome, HttpResponse response, Duration retryAfter)>;

    /// Precondition: the references outlive the forwarder.
    RequestForwarder(GatewayContext &context, DispatcherSelector &selector,
                     InstanceConnections &connections, std::string attemptId);

    /// Sends \a request with \a body, in place of its own, to another dispatcher and calls \a done
    /// later, unless cancel() comes before. Returns false, without a call, if there is no
    /// dispatcher for it. Precondition: no earlier forwarding is under way.
    bool start(HttpRequest request, SharedBody body, const ForwardRequest &wanted,
               TimePoint deadline, Done done);
    /// Gives the request up. The dispatcher cancels it if it is idempotent.
    void cancel();

    /// True from start() until \a done is called or the request is cancelled.
    bool isActive() const { return static_cast<bool>(m_done); }
    /// Ids of the instances that refused the request.
    const std::vector<std::string> &refusedBy() const { return m_wanted.triedInstances; }

private:
    bool sendToNext();
    void transferEnded(TransferResult result, HttpResponse response);
    void responseReceived(HttpResponse response);
    void recordResult(ForwardResult result, Duration retryAfter);
    void refused(ForwardResult result, Duration retryAfter);
    void finish(ForwardOutcome outcome, HttpResponse response, Duration retryAfter);

    GatewayContext &m_context;
    DispatcherSelector &m_selector;
    InstanceConnections &m_connections;
    const std::string m_attemptId;
    HttpRequest m_request;
    SharedBody m_body;
    ForwardRequest m_wanted;
    TimePoint m_deadline;
    int m_offersLeft = 0;
    TimePoint m_sentAt;
    Done m_done;
    RemoteDispatcher m_dispatcher;
    IntrusivePtr<HttpClientConnection> m_connection;
};

} // namespace lycheebay
