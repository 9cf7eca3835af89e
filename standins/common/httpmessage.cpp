#include "standins/common/httpmessage.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace lycheebay::standins {

namespace {

constexpr std::size_t kMaxHeaderBytes = 64UL * 1024;
constexpr std::size_t kMaxBodyBytes = 8UL * 1024 * 1024;

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ')
        text.remove_suffix(1);
    return text;
}

std::string percentDecode(std::string_view text)
{
    std::string result;
    for (std::size_t n = 0; n < text.size(); ++n) {
        unsigned value = 0;
        const char *digits = text.data() + n + 1;
        if (text[n] == '%' && n + 2 < text.size()
            && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
            result += static_cast<char>(value);
            n += 2;
        } else {
            result += text[n];
        }
    }
    return result;
}

void parseQuery(std::string_view text, HttpRequest &request)
{
    while (!text.empty()) {
        const std::string_view pair = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        const std::string_view value =
                equals == std::string_view::npos ? "" : pair.substr(equals + 1);
        request.query[percentDecode(pair.substr(0, equals))] = percentDecode(value);
    }
}

bool parseRequestLine(std::string_view line, HttpRequest &request)
{
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    if (first == std::string_view::npos || second == std::string_view::npos)
        return false;
    request.method = std::string(line.substr(0, first));
    const std::string_view target = line.substr(first + 1, second - first - 1);
    const std::size_t mark = target.find('?');
    request.path = percentDecode(target.substr(0, mark));
    if (mark != std::string_view::npos)
        parseQuery(target.substr(mark + 1), request);
    return !request.path.empty() && request.path.front() == '/';
}

bool parseHead(std::string_view head, HttpRequest &request)
{
    bool isFirst = true;
    while (!head.empty()) {
        const std::string_view line = head.substr(0, head.find("\r\n"));
        head.remove_prefix(std::min(head.size(), line.size() + 2));
        if (std::exchange(isFirst, false)) {
            if (!parseRequestLine(line, request))
                return false;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos)
            return false;
        request.headers[lowerCase(line.substr(0, colon))] = trim(line.substr(colon + 1));
    }
    return !request.headers.contains("transfer-encoding");
}

} // namespace

std::string HttpRequest::header(const std::string &lowerCaseName) const
{
    const auto it = headers.find(lowerCaseName);
    return it == headers.end() ? std::string() : it->second;
}

std::string HttpRequest::queryValue(const std::string &name) const
{
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
}

std::string HttpResponse::serialize() const
{
    std::string text = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
                                   status, status < 400 ? "OK" : "Error", contentType,
                                   announcedLength.value_or(body.size()));
    for (const auto &[name, value] : headers)
        text += fmt::format("{}: {}\r\n", name, value);
    if (closeAfter)
        text += "Connection: close\r\n";
    return text + "\r\n" + body;
}

ParseResult takeRequest(std::string &input, HttpRequest &request)
{
    const std::size_t end = input.find("\r\n\r\n");
    if (end == std::string::npos)
        return input.size() > kMaxHeaderBytes ? ParseResult::Invalid : ParseResult::NeedMore;
    request = HttpRequest();
    if (!parseHead(std::string_view(input).substr(0, end), request))
        return ParseResult::Invalid;
    std::size_t length = 0;
    const std::string text = request.header("content-length");
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if ((!text.empty() && !isNumber) || length > kMaxBodyBytes)
        return ParseResult::Invalid;
    const std::size_t bodyStart = end + 4;
    if (input.size() < bodyStart + length)
        return ParseResult::NeedMore;
    request.body = input.substr(bodyStart, length);
    input.erase(0, bodyStart + length);
    return ParseResult::Complete;
}

} // namespace lycheebay::standins
