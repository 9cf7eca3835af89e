#pragma once

#include "base/iclock.h"
#include "outcomes/httpmessage.h"

#include <memory>
#include <string>
#include <variant>

namespace lycheebay {

/// The error response that a caller gets instead of a response of a target.
struct Refusal
{
    int status = 503;
    /// Readable explanation for the caller.
    std::string reason;
    /// Time after which the caller may retry; zero when a retry would not help.
    Duration retryAfter{};

    auto operator<=>(const Refusal &) const = default;
};

/// A target ran the request and its complete response was received.
struct Done
{
    /// Never null.
    std::shared_ptr<const HttpResponse> response;
};

/// No target started the request, so it is safe to retry.
struct NotRun
{
    Refusal refusal;
};

/// A target may have run the request; whether it did is not known.
struct Unknown
{
    Refusal refusal;
};

/// The result of a request. Each case has its own type, so that they cannot be mixed up by
/// accident.
using Outcome = std::variant<Done, NotRun, Unknown>;

} // namespace lycheebay
