#include "outcomes/httpmessage.h"

#include <algorithm>
#include <array>

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

bool isListedInConnection(std::string_view connection, std::string_view name)
{
    while (!connection.empty()) {
        const auto comma = std::min(connection.find(','), connection.size());
        std::string_view token = connection.substr(0, comma);
        while (!token.empty() && token.front() == ' ')
            token.remove_prefix(1);
        while (!token.empty() && token.back() == ' ')
            token.remove_suffix(1);
        if (sameHeaderName(token, name))
            return true;
        connection.remove_prefix(std::min(comma + 1, connection.size()));
    }
    return false;
}

} // namespace

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

std::optional<std::string> queryValue(std::string_view target, std::string_view name)
{
    const auto mark = target.find('?');
    std::string_view query = mark == std::string_view::npos ? "" : target.substr(mark + 1);
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        if (pair.starts_with(name) && pair.substr(name.size()).starts_with('='))
            return std::string(pair.substr(name.size() + 1));
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return std::nullopt;
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    HttpHeaders result;
    for (const HttpHeader &header : headers) {
        const bool notForwarded =
                std::any_of(kNotForwardedHeaders.begin(), kNotForwardedHeaders.end(),
                            [&](auto name) { return sameHeaderName(header.name, name); });
        const bool listed = std::any_of(headers.begin(), headers.end(), [&](const HttpHeader &it) {
            return sameHeaderName(it.name, "connection")
                   && isListedInConnection(it.value, header.name);
        });
        if (!notForwarded && !listed)
            result.push_back(header);
    }
    return result;
}

} // namespace lycheebay
