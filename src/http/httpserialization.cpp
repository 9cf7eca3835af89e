#include "http/httpserialization.h"

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <iterator>

namespace lycheebay {

namespace {

void appendHeaders(std::string &text, const HttpHeaders &headers)
{
    for (const HttpHeader &it : headers)
        fmt::format_to(std::back_inserter(text), "{}: {}\r\n", it.name, it.value);
}

bool hasNoBody(int status)
{
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    return status == kNoContent || status == kNotModified;
}

/// Returns the head of a request with a body of that size.
std::string serializeRequestHead(const HttpRequest &request, std::size_t bodyBytes)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    appendHeaders(text, request.headers);
    const bool bodyExpected =
            request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (bodyBytes > 0 || bodyExpected)
        fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", bodyBytes);
    text += "\r\n";
    return text;
}

} // namespace

SerializedRequest serializeRequest(const HttpRequest &request, SharedBody body)
{
    return { serializeRequestHead(request, body.bytes.size()), std::move(body) };
}

std::string serializeRequest(const HttpRequest &request)
{
    return serializeRequestHead(request, request.body.size()) + request.body;
}

std::string serializeResponse(const HttpResponse &response, const HttpRequest &request, bool closes)
{
    namespace http = boost::beast::http;
    const auto code = static_cast<unsigned>(response.status);
    const std::string reason(http::obsolete_reason(http::int_to_status(code)));
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", response.status, reason);
    appendHeaders(text, response.headers);
    if (!hasNoBody(response.status))
        fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", response.body.size());
    if (closes)
        text += "Connection: close\r\n";
    text += "\r\n";
    if (request.method != "HEAD" && !hasNoBody(response.status))
        text += response.body;
    return text;
}

HttpResponse jsonResponse(int status, std::string body)
{
    return HttpResponse{ status, { { "Content-Type", "application/json" } }, std::move(body) };
}

} // namespace lycheebay
