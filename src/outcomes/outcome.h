#pragma once

#include "base/iclock.h"
#include "outcomes/httpmessage.h"

#include <memory>
#include <string>
#include <variant>

namespace lycheebay {

/// What a caller is told when it gets no response of a target.
struct Refusal
{
    int status = 503;
    /// In words, for the caller.
    std::string reason;
    /// Zero when a repeat would not help.
    Duration retryAfter{};

    auto operator<=>(const Refusal &) const = default;
};

/// A target ran the request and its response is whole.
struct Done
{
    /// Never null.
    std::shared_ptr<const HttpResponse> response;
};

/// Certainly no target started the request.
struct NotRun
{
    Refusal refusal;
};

/// A target may have run the request.
struct Unknown
{
    Refusal refusal;
};

/// The fate of a request. The three cases are types, so that none passes for another by accident.
using Outcome = std::variant<Done, NotRun, Unknown>;

} // namespace lycheebay
