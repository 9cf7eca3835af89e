#pragma once

#include "outcomes/httpmessage.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lycheebay {

struct HeadLimits
{
    std::size_t maxTargetBytes = 8192;
    std::size_t maxHeadBytes = 16u << 10;
    std::size_t maxHeaders = 100;
    std::size_t maxBodyBytes = 1u << 20;
};

/// The head of a request whose framing is beyond doubt.
struct RequestHead
{
    HttpRequest request;
    std::size_t bodyBytes = 0;
    bool keepAlive = true;
    bool expectsContinue = false;
};

/// Why a request is refused; the connection must be closed after the answer.
struct HeadError
{
    int status = 400;
    std::string reason;
};

/// Parses everything up to and including the empty line. Stricter than RFC 9112 allows where two
/// readers could disagree on where a message ends (request smuggling). Thread-safe.
std::variant<RequestHead, HeadError> parseRequestHead(std::string_view head,
                                                      const HeadLimits &limits);

} // namespace lycheebay
