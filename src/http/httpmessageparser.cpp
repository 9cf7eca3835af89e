#include "http/httpmessageparser.h"

#include <algorithm>
#include <climits>

namespace lycheebay {

namespace {

constexpr int kContinue = 0;
constexpr int kStop = 1;
constexpr int kSkipBody = 1;
constexpr int kError = -1;
// Bounds of the status codes that HTTP defines (RFC 9110, 15).
constexpr int kFirstStatus = 100;
constexpr int kEndOfStatuses = 600;
// Framing that is accepted for each byte of a chunked body; a chunk of one byte takes six.
constexpr std::size_t kFramingPerBodyByte = 8;

/// Returns whether at most one field defines the length of the body, in a form that leaves no
/// doubt. The library takes every coding but "chunked" for none.
bool isFramingClear(const HttpHeaders &headers)
{
    const std::string *coding = findHeader(headers, "Transfer-Encoding");
    const std::string *length = findHeader(headers, "Content-Length");
    if (coding)
        return !length && countHeader(headers, "Transfer-Encoding") == 1
               && sameHeaderName(*coding, "chunked");
    return !length
           || (countHeader(headers, "Content-Length") == 1 && !length->empty()
               && length->find_first_not_of("0123456789") == std::string::npos);
}

} // namespace

/// The C callbacks of http_parser.
struct HttpParserCallbacks
{
    static HttpMessageParser &self(http_parser *parser)
    {
        return *static_cast<HttpMessageParser *>(parser->data);
    }

    static int onTarget(http_parser *parser, const char *at, std::size_t n)
    {
        HttpMessageParser &it = self(parser);
        it.m_request.target.append(at, n);
        return it.countHeadBytes(n) ? kContinue : kStop;
    }

    static int onHeaderName(http_parser *parser, const char *at, std::size_t n)
    {
        HttpMessageParser &it = self(parser);
        if (it.m_inHeaderValue || it.headers().empty())
            it.headers().emplace_back();
        it.m_inHeaderValue = false;
        it.headers().back().name.append(at, n);
        return it.countHeadBytes(n) ? kContinue : kStop;
    }

    static int onHeaderValue(http_parser *parser, const char *at, std::size_t n)
    {
        HttpMessageParser &it = self(parser);
        it.m_inHeaderValue = true;
        it.headers().back().value.append(at, n);
        return it.countHeadBytes(n) ? kContinue : kStop;
    }

    static int onHeadComplete(http_parser *parser)
    {
        HttpMessageParser &it = self(parser);
        it.m_headComplete = true;
        if (!isFramingClear(it.headers()))
            return kError;
        const bool hasLength = parser->content_length != ULLONG_MAX;
        if (hasLength && !it.m_bodyless && parser->content_length > it.m_limits.bodyBytes) {
            it.m_state = HttpMessageParser::State::BodyTooLarge;
            return kError;
        }
        if (it.m_kind == HttpMessageParser::Kind::Request) {
            it.m_request.method = http_method_str(static_cast<http_method>(parser->method));
            return kContinue;
        }
        it.m_response.status = static_cast<int>(parser->status_code);
        if (it.m_response.status < kFirstStatus || it.m_response.status >= kEndOfStatuses)
            return kError;
        return it.m_bodyless ? kSkipBody : kContinue;
    }

    static int onBody(http_parser *parser, const char *at, std::size_t n)
    {
        HttpMessageParser &it = self(parser);
        if (it.body().size() + n > it.m_limits.bodyBytes) {
            it.m_state = HttpMessageParser::State::BodyTooLarge;
            return kStop;
        }
        it.body().append(at, n);
        return kContinue;
    }

    static int onComplete(http_parser *parser)
    {
        HttpMessageParser &it = self(parser);
        const bool isInterim = it.m_kind == HttpMessageParser::Kind::Response
                               && it.m_response.status >= 100 && it.m_response.status < 200;
        if (isInterim) {
            it.m_response = HttpResponse();
            it.m_headComplete = false;
            it.m_inHeaderValue = false;
            return kContinue;
        }
        it.m_keepAlive = http_should_keep_alive(parser) != 0;
        it.m_state = HttpMessageParser::State::Complete;
        // Leaves the bytes of a following message unread.
        http_parser_pause(parser, 1);
        return kContinue;
    }

    static const http_parser_settings &settings()
    {
        static const http_parser_settings kSettings = [] {
            http_parser_settings it;
            http_parser_settings_init(&it);
            it.on_url = onTarget;
            it.on_header_field = onHeaderName;
            it.on_header_value = onHeaderValue;
            it.on_headers_complete = onHeadComplete;
            it.on_body = onBody;
            it.on_message_complete = onComplete;
            return it;
        }();
        return kSettings;
    }
};

HttpMessageParser::HttpMessageParser(Kind kind, const HttpMessageLimits &limits)
    : m_kind(kind)
    , m_limits(limits)
{
    restart();
}

void HttpMessageParser::restart(bool bodyless)
{
    http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_state = State::Incomplete;
    m_started = false;
    m_headComplete = false;
    m_keepAlive = false;
    m_bodyless = bodyless;
    m_inHeaderValue = false;
    m_headBytes = 0;
    m_framingBytes = 0;
    m_request = HttpRequest();
    m_response = HttpResponse();
}

std::size_t HttpMessageParser::feed(std::string_view bytes)
{
    if (bytes.empty())
        return 0;
    m_started = true;
    const std::size_t bodyBytes = body().size();
    const std::size_t n = http_parser_execute(&m_parser, &HttpParserCallbacks::settings(),
                                              bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (m_state == State::Incomplete && m_parser.upgrade != 0)
        m_state = State::Malformed;
    if (m_state == State::Incomplete && error == HPE_HEADER_OVERFLOW)
        m_state = State::HeadTooLarge;
    if (m_state == State::Incomplete && error != HPE_OK)
        m_state = State::Malformed;
    const std::size_t consumed = std::min(n, bytes.size());
    countFramingBytes(consumed, bodyBytes);
    return consumed;
}

void HttpMessageParser::finish()
{
    http_parser_execute(&m_parser, &HttpParserCallbacks::settings(), nullptr, 0);
    if (m_state == State::Incomplete)
        m_state = State::Malformed;
}

HttpHeaders &HttpMessageParser::headers()
{
    return m_kind == Kind::Request ? m_request.headers : m_response.headers;
}

std::string &HttpMessageParser::body()
{
    return m_kind == Kind::Request ? m_request.body : m_response.body;
}

void HttpMessageParser::countFramingBytes(std::size_t consumed, std::size_t bodyBytes)
{
    m_framingBytes += consumed - std::min(consumed, body().size() - bodyBytes);
    if (m_state == State::Incomplete
        && m_framingBytes > 2 * m_limits.headBytes + kFramingPerBodyByte * body().size())
        m_state = State::HeadTooLarge;
}

bool HttpMessageParser::countHeadBytes(std::size_t n)
{
    m_headBytes += n;
    if (m_headBytes <= m_limits.headBytes)
        return true;
    m_state = State::HeadTooLarge;
    return false;
}

} // namespace lycheebay
