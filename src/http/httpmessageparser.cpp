#include "http/httpmessageparser.h"

#include "base/releasememory.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <optional>

namespace lycheebay {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

using ErrorCode = beast::error_code;

// Framing that is accepted for each byte of a chunked body; a chunk of one byte takes six.
constexpr std::size_t kFramingPerBodyByte = 8;
// Bounds of the status codes that HTTP defines (RFC 9110, 15).
constexpr int kFirstStatus = 100;
constexpr int kEndOfStatuses = 600;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;

std::string_view view(beast::string_view text)
{
    return { text.data(), text.size() };
}

/// True for the forms of a request target beside that of CONNECT (RFC 9112, 3.2).
bool isRequestTarget(std::string_view target)
{
    return target.starts_with('/') || target == "*" || target.find("://") != std::string_view::npos;
}

/// Returns whether at most one field defines the length of the body, in a form that leaves no
/// doubt. The library takes other codings than "chunked" for none, and lists of lengths.
bool isFramingClear(const HttpHeaders &headers)
{
    const std::string *coding = findHeader(headers, "Transfer-Encoding");
    const std::string *length = findHeader(headers, "Content-Length");
    if (coding) {
        return !length && countHeader(headers, "Transfer-Encoding") == 1
               && sameHeaderName(*coding, "chunked");
    }
    return !length
           || (countHeader(headers, "Content-Length") == 1
               && length->find_first_not_of("0123456789") == std::string::npos);
}

} // namespace

/// Reads one message and passes its parts on to the parser.
template <bool isRequest>
class HttpMessageParser::MessageReader final : public http::basic_parser<isRequest>
{
public:
    explicit MessageReader(HttpMessageParser &parser)
        : m_parser(parser)
    {
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(2 * parser.m_limits.headBytes));
        this->body_limit(parser.m_limits.bodyBytes);
        this->skip(parser.m_bodyless);
    }

private:
    using Text = beast::string_view;

    void on_request_impl(http::verb verb, Text method, Text target, int, ErrorCode &ec) override
    {
        if (verb == http::verb::unknown)
            ec = http::error::bad_method;
        else if (verb != http::verb::connect && !isRequestTarget(view(target)))
            ec = http::error::bad_target;
        m_parser.m_request.method = view(method);
        m_parser.m_request.target = view(target);
        countHeadBytes(target.size(), ec);
    }

    void on_response_impl(int status, Text, int, ErrorCode &ec) override
    {
        if (status < kFirstStatus || status >= kEndOfStatuses || status == kSwitchingProtocols)
            ec = http::error::bad_status;
        m_parser.m_response.status = status;
    }

    void on_field_impl(http::field, Text name, Text value, ErrorCode &ec) override
    {
        m_parser.headers().push_back({ std::string(name), std::string(value) });
        countHeadBytes(name.size() + value.size(), ec);
    }

    void on_header_impl(ErrorCode &ec) override
    {
        m_parser.m_headComplete = true;
        if (!isFramingClear(m_parser.headers()))
            ec = http::error::bad_transfer_encoding;
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &) override {}

    std::size_t on_body_impl(Text bytes, ErrorCode &) override
    {
        m_parser.body().append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, Text, ErrorCode &) override {}

    std::size_t on_chunk_body_impl(std::uint64_t, Text bytes, ErrorCode &ec) override
    {
        return on_body_impl(bytes, ec);
    }

    void on_finish_impl(ErrorCode &) override {}

    void countHeadBytes(std::size_t n, ErrorCode &ec)
    {
        m_parser.m_headBytes += n;
        if (m_parser.m_headBytes > m_parser.m_limits.headBytes)
            ec = http::error::header_limit;
    }

    HttpMessageParser &m_parser;
};

/// The reader of the current message, of the parser's kind.
struct HttpMessageParser::Readers
{
    template <typename Call>
    auto apply(Call call)
    {
        return request ? call(*request) : call(*response);
    }

    std::optional<MessageReader<true>> request;
    std::optional<MessageReader<false>> response;
};

HttpMessageParser::HttpMessageParser(Kind kind, const HttpMessageLimits &limits)
    : m_kind(kind)
    , m_limits(limits)
    , m_readers(std::make_unique<Readers>())
{
    restart();
}

HttpMessageParser::~HttpMessageParser() = default;

void HttpMessageParser::restart(bool bodyless)
{
    m_state = State::Incomplete;
    m_started = false;
    m_keepAlive = false;
    m_bodyless = bodyless;
    m_headBytes = 0;
    m_framingBytes = 0;
    releaseMemory(m_pending);
    startMessage();
}

void HttpMessageParser::startMessage()
{
    m_headComplete = false;
    releaseMemory(m_request);
    releaseMemory(m_response);
    if (m_kind == Kind::Request)
        m_readers->request.emplace(*this);
    else
        m_readers->response.emplace(*this);
}

std::size_t HttpMessageParser::feed(std::string_view bytes)
{
    if (bytes.empty())
        return 0;
    m_started = true;
    const std::size_t bodyBytes = body().size();
    const std::size_t pendingBytes = m_pending.size();
    if (pendingBytes > 0)
        m_pending.append(bytes);
    const std::string_view input = pendingBytes > 0 ? std::string_view(m_pending) : bytes;
    const std::size_t parsed = parse(input);
    std::size_t consumed = bytes.size();
    if (m_state != State::Incomplete) {
        consumed = parsed - std::min(parsed, pendingBytes);
        releaseMemory(m_pending);
    } else if (pendingBytes > 0) {
        m_pending.erase(0, parsed);
    } else {
        m_pending = input.substr(parsed);
    }
    countFramingBytes(consumed, bodyBytes);
    return consumed;
}

std::size_t HttpMessageParser::parse(std::string_view input)
{
    std::size_t parsed = 0;
    while (parsed < input.size() && m_state == State::Incomplete) {
        const char next = input[parsed];
        const bool isBetweenMessages =
                !m_readers->apply([](const auto &reader) { return reader.got_some(); });
        // A server ignores empty lines before a request (RFC 9112, 2.2).
        if (m_kind == Kind::Request && isBetweenMessages && (next == '\r' || next == '\n')) {
            ++parsed;
            continue;
        }
        ErrorCode ec;
        bool isDone = false;
        m_readers->apply([&](auto &reader) {
            parsed += reader.put({ input.data() + parsed, input.size() - parsed }, ec);
            isDone = reader.is_done();
        });
        if (ec == http::error::need_more)
            break;
        if (ec == http::error::header_limit)
            m_state = State::HeadTooLarge;
        else if (ec == http::error::body_limit)
            m_state = State::BodyTooLarge;
        else if (ec)
            m_state = State::Malformed;
        else if (isDone)
            messageEnded();
    }
    return parsed;
}

void HttpMessageParser::messageEnded()
{
    if (m_kind == Kind::Response && m_response.status < kFirstFinalStatus) {
        startMessage();
        return;
    }
    m_keepAlive = m_readers->apply([](const auto &reader) { return reader.keep_alive(); });
    m_state = State::Complete;
}

void HttpMessageParser::finish()
{
    ErrorCode ec = http::error::partial_message;
    m_readers->apply([&](auto &reader) {
        if (reader.got_some())
            reader.put_eof(ec);
    });
    if (ec)
        m_state = State::Malformed;
    else
        messageEnded();
}

std::size_t HttpMessageParser::heldBytes() const
{
    // The message of the other kind is empty.
    const std::size_t fields = m_request.headers.capacity() + m_response.headers.capacity();
    return fields * sizeof(HttpHeader) + m_headBytes + m_request.body.capacity()
           + m_response.body.capacity() + m_pending.capacity();
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

} // namespace lycheebay
