#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheebay::standins {

struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &lowerCaseName) const;
    std::string queryValue(const std::string &name) const;
};

struct HttpResponse
{
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string contentType = "application/json";
    /// Announced in place of the body's size, to simulate an incomplete response.
    std::optional<std::size_t> announcedLength;
    bool closeAfter = false;

    std::string serialize() const;
};

enum class ParseResult { NeedMore, Complete, Invalid };

/// Takes one request with a Content-Length body from the front of \a input. Chunked bodies are
/// invalid. Thread-safe for distinct arguments.
ParseResult takeRequest(std::string &input, HttpRequest &request);

} // namespace lycheebay::standins
