#pragma once

#include "base/iclock.h"
#include "outcomes/httpmessage.h"

#include <optional>
#include <string>

namespace lycheebay {

/// Load of a target when it sent a response.
struct TargetLoad
{
    int running = 0; ///< requests that are being processed
    int waiting = 0; ///< requests that are queued at the target
    int slots = 0;   ///< requests that the target processes concurrently
    /// Current service time divided by the target's usual service time.
    double slowdown = 1;

    auto operator<=>(const TargetLoad &) const = default;
};

/// What the status and header fields of a response state about the target that sent it.
struct ResponseMetadata
{
    /// Id of the attempt that the response belongs to; empty if not given.
    std::string attemptId;
    /// Id of the target incarnation; empty if not given.
    std::string targetId;
    /// True if the target states that it did not run the request, which makes a retry safe.
    bool notRun = false;
    /// True if the response has the header field that marks the body as the target's own, or if
    /// targets of this protocol do not send one.
    bool sealed = false;
    /// True if the address now belongs to another target.
    bool wrongTarget = false;
    std::optional<TargetLoad> load;
    /// Time until the target is warm.
    std::optional<Duration> coldFor;
    /// Requests per second that the target accepts from all instances together; null if it names no
    /// limit.
    std::optional<double> requestLimit;
    /// True if this incarnation is shutting down and must get no new requests.
    bool leaving = false;
    /// Time for which the target wants no request from this instance; null if it states none.
    std::optional<Duration> pause;

    auto operator<=>(const ResponseMetadata &) const = default;
};

/// What the header fields of a caller's request state.
struct RequestMetadata
{
    /// Id of the caller's attempt; empty if not given.
    std::string attemptId;
    /// Time for which the caller waits; null if not given.
    std::optional<Duration> deadline;

    auto operator<=>(const RequestMetadata &) const = default;
};

/// Reads and writes the header fields that the gateway exchanges with callers and targets.
/// Implementations are immutable and thread-safe.
class ITargetProtocol
{
public:
    virtual ~ITargetProtocol() = default;

    virtual RequestMetadata readRequestMetadata(const HttpRequest &request) const = 0;
    virtual ResponseMetadata readResponseMetadata(const HttpResponse &response) const = 0;
    /// Sets the fields that the gateway adds to a request to the target \a targetId. \a remaining
    /// is the time left until the request's deadline. Precondition: \a remaining > 0.
    virtual void addAttemptFields(HttpHeaders &headers, const std::string &targetId,
                                  Duration remaining) const = 0;
    /// Sets the time left until the deadline in a request to another instance. Precondition:
    /// \a remaining > 0.
    virtual void setDeadline(HttpHeaders &headers, Duration remaining) const = 0;
};

} // namespace lycheebay
