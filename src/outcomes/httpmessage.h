#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheebay {

struct HttpHeader
{
    std::string name;
    std::string value;

    auto operator<=>(const HttpHeader &) const = default;
};

/// Headers in the order of the message. Names are case-insensitive.
using HttpHeaders = std::vector<HttpHeader>;

struct HttpRequest
{
    std::string method;
    /// Path and query as received, not percent-decoded.
    std::string target;
    HttpHeaders headers;
    std::string body;

    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }

    auto operator<=>(const HttpRequest &) const = default;
};

/// Returns the memory that a request holds, in bytes. Thread-safe.
std::size_t heldBytes(const HttpRequest &request);

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;

    auto operator<=>(const HttpResponse &) const = default;
};

/// A parameter of a query; neither name nor value is encoded.
struct QueryParameter
{
    std::string name;
    std::string value;

    auto operator<=>(const QueryParameter &) const = default;
};

/// Compares two header names, ignoring case.
bool sameHeaderName(std::string_view a, std::string_view b);
/// Returns the value of the first header of that name, or null. The pointer is valid until
/// \a headers are changed.
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);
std::size_t countHeader(const HttpHeaders &headers, std::string_view name);
/// Replaces all headers of that name by one with \a value.
void setHeader(HttpHeaders &headers, std::string_view name, std::string value);
void removeHeader(HttpHeaders &headers, std::string_view name);
/// Size of a percent sign and two hexadecimal digits.
inline constexpr std::size_t kPercentEscapeSize = 3;

/// Returns the byte that an escape such as "%2F" stands for; nullopt if \a escape is none.
/// Thread-safe.
std::optional<char> decodePercentEscape(std::string_view escape);
/// Returns the value of the first query parameter of that name, or nullopt when \a target has none
/// or an escape in the value is incomplete. A plus sign stands for a space, as in HTML forms. Names
/// are not decoded. Thread-safe.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);
/// Returns a request target that consists of \a path and a query with the parameters. Their values
/// are percent-encoded but for the unreserved characters (RFC 3986, 2.3), so that a value can hold
/// any bytes. Precondition: \a path and the names need no encoding. Thread-safe.
std::string targetWithQuery(std::string_view path, const std::vector<QueryParameter> &query);
/// Returns the headers that are to be forwarded: all except hop-by-hop headers (RFC 9110, 7.6.1),
/// headers listed in Connection, Host and Content-Length.
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

} // namespace lycheebay
