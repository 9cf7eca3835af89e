#include "transport/internal/requesthead.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace lycheebay {

namespace {

constexpr std::array<std::string_view, 7> kMethods{ "GET",   "HEAD",   "POST",   "PUT",
                                                    "PATCH", "DELETE", "OPTIONS" };

using ParseError = std::optional<HeadError>;

bool isTokenCharacter(char c)
{
    const bool alphanumeric =
            (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
    return alphanumeric || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isValueCharacter(char c)
{
    const auto code = static_cast<unsigned char>(c);
    return c == '\t' || (code >= 0x20 && code != 0x7f);
}

bool isRequestTargetCharacter(char c)
{
    return c > 0x20 && c < 0x7f;
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

ParseError parseRequestLine(std::string_view line, const HeadLimits &limits, RequestHead &head)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || last == first)
        return HeadError{ 400, "malformed request line" };
    const std::string_view target = line.substr(first + 1, last - first - 1);
    const std::string_view version = line.substr(last + 1);
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
        return HeadError{ 400, "not an HTTP/1.1 request" };
    if (target.size() > limits.maxRequestTargetBytes)
        return HeadError{ 414, "the request target is too long" };
    if (!target.starts_with('/')
        || !std::all_of(target.begin(), target.end(), isRequestTargetCharacter))
        return HeadError{ 400, "malformed request target" };
    head.request.method = line.substr(0, first);
    if (std::find(kMethods.begin(), kMethods.end(), head.request.method) == kMethods.end())
        return HeadError{ 501, "method not supported" };
    head.request.target = target;
    head.keepAlive = version == "HTTP/1.1";
    return {};
}

ParseError parseHeaderLine(std::string_view line, HttpHeaders &headers)
{
    const auto colon = line.find(':');
    const std::string_view name = line.substr(0, std::min(colon, line.size()));
    if (colon == std::string_view::npos || name.empty()
        || !std::all_of(name.begin(), name.end(), isTokenCharacter)) {
        return HeadError{ 400, "malformed header name" };
    }
    const std::string_view value = trim(line.substr(colon + 1));
    if (!std::all_of(value.begin(), value.end(), isValueCharacter))
        return HeadError{ 400, "malformed header value" };
    headers.push_back({ std::string(name), std::string(value) });
    return {};
}

ParseError parseContentLength(const HttpHeaders &headers, const HeadLimits &limits,
                              std::size_t &bodyBytes)
{
    const std::size_t count = countHeader(headers, "Content-Length");
    if (count == 0)
        return {};
    const std::string &text = *findHeader(headers, "Content-Length");
    std::size_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (count > 1 || parsed.ec == std::errc::invalid_argument
        || parsed.ptr != text.data() + text.size()) {
        return HeadError{ 400, "repeated or malformed Content-Length" };
    }
    if (parsed.ec != std::errc() || value > limits.maxBodyBytes)
        return HeadError{ 413, "the body is too large" };
    bodyBytes = value;
    return {};
}

ParseError checkFraming(const HeadLimits &limits, RequestHead &head)
{
    const HttpHeaders &headers = head.request.headers;
    const bool hasLength = countHeader(headers, "Content-Length") > 0;
    if (countHeader(headers, "Transfer-Encoding") > 0) {
        if (hasLength)
            return HeadError{ 400, "both Content-Length and Transfer-Encoding" };
        return HeadError{ 411, "send the body with Content-Length" };
    }
    if (countHeader(headers, "Host") != 1)
        return HeadError{ 400, "not exactly one Host header" };
    if (ParseError error = parseContentLength(headers, limits, head.bodyBytes))
        return error;
    const std::string &method = head.request.method;
    if (!hasLength && (method == "POST" || method == "PUT" || method == "PATCH"))
        return HeadError{ 411, "Content-Length is missing" };
    if (const std::string *connection = findHeader(headers, "Connection")) {
        if (sameHeaderName(*connection, "close"))
            head.keepAlive = false;
    }
    if (const std::string *expect = findHeader(headers, "Expect")) {
        if (!sameHeaderName(*expect, "100-continue"))
            return HeadError{ 417, "unknown expectation" };
        head.expectsContinue = head.bodyBytes > 0;
        removeHeader(head.request.headers, "Expect");
    }
    return {};
}

} // namespace

std::variant<RequestHead, HeadError> parseRequestHead(std::string_view text,
                                                      const HeadLimits &limits)
{
    RequestHead head;
    bool first = true;
    while (text != "\r\n") {
        const auto end = text.find("\r\n");
        if (end == std::string_view::npos)
            return HeadError{ 400, "malformed request" };
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(end + 2);
        const ParseError error = first ? parseRequestLine(line, limits, head)
                                       : parseHeaderLine(line, head.request.headers);
        if (error)
            return *error;
        if (head.request.headers.size() > limits.maxHeaders)
            return HeadError{ 431, "too many headers" };
        first = false;
    }
    if (const ParseError error = checkFraming(limits, head))
        return *error;
    return head;
}

} // namespace lycheebay
