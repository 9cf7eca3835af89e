#pragma once

#include "outcomes/httpmessage.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lycheebay {

struct HeadLimits
{
    std::size_t maxRequestTargetBytes = 8192;
    std::size_t maxHeadBytes = 16u << 10;
    std::size_t maxHeaders = 100;
    std::size_t maxBodyBytes = 1u << 20;
};

/// The head of a request whose message length is unambiguous.
struct RequestHead
{
    HttpRequest request;
    std::size_t bodyBytes = 0;
    bool keepAlive = true;
    bool expectsContinue = false;
};

/// Why a request is refused. The connection must be closed after the response.
struct HeadError
{
    int status = 400;
    std::string reason;
};

/// Parses a request head up to and including the empty line. Stricter than RFC 9112 requires where
/// two implementations could disagree on the end of a message (request smuggling). Thread-safe.
std::variant<RequestHead, HeadError> parseRequestHead(std::string_view head,
                                                      const HeadLimits &limits);

} // namespace lycheebay
