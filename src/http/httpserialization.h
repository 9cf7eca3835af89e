#pragma once

#include "base/intrusiveptr.h"
#include "outcomes/httpmessage.h"

#include <string>
#include <string_view>

namespace lycheebay {

/// A body that several messages share.
struct SharedBody
{
    std::string_view bytes;
    /// Keeps the bytes valid.
    IntrusivePtr<const RefCounted> owner;
};

/// The bytes of a request. The body may stay where it is, so that attempts and retries of one
/// request hold a large body once.
struct SerializedRequest
{
    std::string head;
    SharedBody body;
};

/// Returns the bytes of a request with \a body, framed by its length, in place of its own.
/// \a request carries Host and no framing headers. Thread-safe.
SerializedRequest serializeRequest(const HttpRequest &request, SharedBody body);

/// Returns the bytes of a request with the body framed by its length. \a request carries Host and
/// no framing headers. Thread-safe.
std::string serializeRequest(const HttpRequest &request);

/// Returns the bytes of a response with the body framed by its length. \a request is what it
/// answers; \a closes tells the peer that the connection ends. Thread-safe.
std::string serializeResponse(const HttpResponse &response, const HttpRequest &request,
                              bool closes);

/// Returns a response with a JSON body. Thread-safe.
HttpResponse jsonResponse(int status, std::string body);

} // namespace lycheebay
