#include "outcomes/httpmessage.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

namespace lycheebay {

namespace {

/// Hop-by-hop headers, and Host and Content-Length.
constexpr std::array<std::string_view, 10> kNotForwardedHeaders{
    "connection", "keep-alive",        "proxy-connection", "proxy-authenticate",
    "te",         "transfer-encoding", "trailer",          "upgrade",
    "host",       "content-length",
};

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// Characters that a URI may hold as they are anywhere (RFC 3986, 2.3).
bool isUnreserved(char c)
{
    const bool alphanumeric =
            (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
    return alphanumeric || std::string_view("-._~").find(c) != std::string_view::npos;
}

void appendEncoded(std::string &text, std::string_view value)
{
    for (const char it : value) {
        if (isUnreserved(it))
            text += it;
        else
            fmt::format_to(std::back_inserter(text), "%{:02X}", static_cast<unsigned char>(it));
    }
}

/// Decodes a value of a query; null if an escape is incomplete.
std::optional<std::string> decodeQueryValue(std::string_view text)
{
    std::string decoded;
    while (!text.empty()) {
        if (text.front() != '%') {
            decoded += text.front() == '+' ? ' ' : text.front();
            text.remove_prefix(1);
            continue;
        }
        const auto byte = decodePercentEscape(text.substr(0, kPercentEscapeSize));
        if (!byte)
            return std::nullopt;
        decoded += *byte;
        text.remove_prefix(kPercentEscapeSize);
    }
    return decoded;
}

bool isLess(std::string_view a, std::string_view b)
{
    return std::lexicographical_compare(a.begin(), a.end(), b.begin(), b.end(),
                                        [](char x, char y) { return lower(x) < lower(y); });
}

/// Returns the names that Connection lists, sorted.
std::vector<std::string_view> connectionOptions(const HttpHeaders &headers)
{
    std::vector<std::string_view> options;
    for (const HttpHeader &it : headers) {
        if (!sameHeaderName(it.name, "connection"))
            continue;
        std::string_view list = it.value;
        while (!list.empty()) {
            const auto comma = std::min(list.find(','), list.size());
            std::string_view option = list.substr(0, comma);
            while (!option.empty() && option.front() == ' ')
                option.remove_prefix(1);
            while (!option.empty() && option.back() == ' ')
                option.remove_suffix(1);
            options.push_back(option);
            list.remove_prefix(std::min(comma + 1, list.size()));
        }
    }
    std::sort(options.begin(), options.end(), isLess);
    return options;
}

} // namespace

std::size_t heldBytes(const HttpRequest &request)
{
    std::size_t bytes = request.method.size() + request.target.size() + request.body.size()
                        + request.headers.capacity() * sizeof(HttpHeader);
    for (const HttpHeader &it : request.headers)
        bytes += it.name.size() + it.value.size();
    return bytes;
}

bool sameHeaderName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return lower(x) == lower(y);
           });
}

const std::string *findHeader(const HttpHeaders &headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [&](const HttpHeader &header) {
        return sameHeaderName(header.name, name);
    });
    return it == headers.end() ? nullptr : &it->value;
}

std::size_t countHeader(const HttpHeaders &headers, std::string_view name)
{
    return static_cast<std::size_t>(
            std::count_if(headers.begin(), headers.end(), [&](const HttpHeader &header) {
                return sameHeaderName(header.name, name);
            }));
}

void setHeader(HttpHeaders &headers, std::string_view name, std::string value)
{
    removeHeader(headers, name);
    headers.push_back({ std::string(name), std::move(value) });
}

void removeHeader(HttpHeaders &headers, std::string_view name)
{
    std::erase_if(headers,
                  [&](const HttpHeader &header) { return sameHeaderName(header.name, name); });
}

std::optional<char> decodePercentEscape(std::string_view escape)
{
    constexpr int kHexadecimal = 16;
    if (escape.size() != kPercentEscapeSize || escape.front() != '%')
        return std::nullopt;
    unsigned value = 0;
    const char *end = escape.data() + escape.size();
    const auto parsed = std::from_chars(escape.data() + 1, end, value, kHexadecimal);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return static_cast<char>(value);
}

std::optional<std::string> queryValue(std::string_view target, std::string_view name)
{
    const auto mark = target.find('?');
    std::string_view query = mark == std::string_view::npos ? "" : target.substr(mark + 1);
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        if (pair.starts_with(name) && pair.substr(name.size()).starts_with('='))
            return decodeQueryValue(pair.substr(name.size() + 1));
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return std::nullopt;
}

std::string targetWithQuery(std::string_view path, const std::vector<QueryParameter> &query)
{
    std::string target(path);
    char separator = '?';
    for (const QueryParameter &it : query) {
        target += separator + it.name + '=';
        appendEncoded(target, it.value);
        separator = '&';
    }
    return target;
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    const std::vector<std::string_view> options = connectionOptions(headers);
    HttpHeaders result;
    for (const HttpHeader &header : headers) {
        const bool notForwarded =
                std::any_of(kNotForwardedHeaders.begin(), kNotForwardedHeaders.end(),
                            [&](auto name) { return sameHeaderName(header.name, name); });
        const bool listed = std::binary_search(options.begin(), options.end(),
                                               std::string_view(header.name), isLess);
        if (!notForwarded && !listed)
            result.push_back(header);
    }
    return result;
}

} // namespace lycheebay
