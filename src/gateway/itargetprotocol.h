#pragma once

#include "base/iclock.h"
#include "outcomes/httpmessage.h"

#include <optional>
#include <string>

namespace lycheebay {

/// Load of a target at the moment of a response.
struct TargetLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// Time that work takes now, relative to the usual time of the target.
    double slowdown = 1;

    auto operator<=>(const TargetLoad &) const = default;
};

/// What a response tells about the target that sent it.
struct ResponseMetadata
{
    /// Id of the attempt that the response answers; empty if it does not say.
    std::string attemptId;
    /// Id of the target incarnation; empty if it does not say.
    std::string targetId;
    /// The target states that it did not run the request.
    bool notRun = false;
    /// The response carries the target's seal, so the body is the target's own.
    bool sealed = false;
    /// Another target has the address now.
    bool wrongTarget = false;
    std::optional<TargetLoad> load;
    /// How long the target stays cold.
    std::optional<Duration> coldFor;

    auto operator<=>(const ResponseMetadata &) const = default;
};

/// What a caller says about its request.
struct RequestMetadata
{
    /// Empty if the request has none.
    std::string attemptId;
    /// Time that the caller waits; null if it does not say.
    std::optional<Duration> deadline;

    auto operator<=>(const RequestMetadata &) const = default;
};

/// The header fields that callers and targets speak. Implementations are immutable and thread-safe.
class ITargetProtocol
{
public:
    virtual ~ITargetProtocol() = default;

    virtual RequestMetadata readRequestMetadata(const HttpRequest &request) const = 0;
    virtual ResponseMetadata readResponseMetadata(const HttpResponse &response) const = 0;
    /// Sets the fields that the gateway adds to a request for the target \a targetId.
    /// Precondition: \a remaining > 0.
    virtual void addAttemptFields(HttpHeaders &headers, const std::string &targetId,
                                  Duration remaining) const = 0;
};

} // namespace lycheebay
