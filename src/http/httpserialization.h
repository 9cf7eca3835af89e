#pragma once

#include "outcomes/httpmessage.h"

#include <string>

namespace lycheebay {

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
