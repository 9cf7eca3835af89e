#pragma once

#include "outcomes/httpmessage.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace lycheebay {

/// Bounds of one HTTP message, in bytes.
struct HttpMessageLimits
{
    /// Bound for the target, the names and the values of header fields, including trailers. Twice
    /// as many bytes may come beside the body altogether: interim responses, separators and the
    /// framing of chunks, for which more is allowed in proportion to the body.
    std::size_t headBytes = 64UL << 10U;
    std::size_t bodyBytes = 64UL << 20U;

    auto operator<=>(const HttpMessageLimits &) const = default;
};

/// Parses one HTTP/1.1 message after another from the bytes of a connection, by the grammar of
/// RFC 9112. A message whose syntax or framing leaves doubt is Malformed.
/// Not thread-safe: one parser per connection.
class HttpMessageParser
{
public:
    enum class Kind { Request, Response };
    enum class State { Incomplete, Complete, Malformed, HeadTooLarge, BodyTooLarge };

    explicit HttpMessageParser(Kind kind, const HttpMessageLimits &limits = {});
    ~HttpMessageParser();
    HttpMessageParser(const HttpMessageParser &) = delete;
    HttpMessageParser &operator=(const HttpMessageParser &) = delete;

    /// Consumes bytes up to the end of the current message and returns how many.
    /// Precondition: state() is Incomplete.
    std::size_t feed(std::string_view bytes);
    /// Tells that the peer ended the connection; completes a response that has no length.
    /// Precondition: state() is Incomplete.
    void finish();
    /// Prepares for the next message of the connection. \a bodyless tells that the next response
    /// answers HEAD.
    void restart(bool bodyless = false);

    State state() const { return m_state; }
    /// True once a byte of the current message was consumed.
    bool hasStarted() const { return m_started; }
    /// True once the head of the current message is complete.
    bool isHeadComplete() const { return m_headComplete; }
    /// True if the connection can carry another message. Precondition: state() is Complete.
    bool isKeepAlive() const { return m_keepAlive; }

    /// Memory of the current message, in bytes.
    std::size_t heldBytes() const;

    /// Head and body of the request as far as they were read.
    const HttpRequest &request() const { return m_request; }
    /// Gives up what was read of the request. Precondition: the parser reads requests and
    /// restart() comes next.
    HttpRequest takeRequest() { return std::move(m_request); }
    /// Precondition: the parser reads responses and state() is Complete.
    HttpResponse takeResponse() { return std::move(m_response); }

private:
    template <bool isRequest>
    class MessageReader;
    struct Readers;

    HttpHeaders &headers();
    std::string &body();
    void startMessage();
    /// Parses \a input as far as it holds whole elements of the syntax and returns how many bytes
    /// those are.
    std::size_t parse(std::string_view input);
    void messageEnded();
    /// Counts the bytes consumed since \a bodyBytes of the body were known.
    void countFramingBytes(std::size_t consumed, std::size_t bodyBytes);

    const Kind m_kind;
    const HttpMessageLimits m_limits;
    const std::unique_ptr<Readers> m_readers;
    State m_state = State::Incomplete;
    bool m_started = false;
    bool m_headComplete = false;
    bool m_keepAlive = false;
    bool m_bodyless = false;
    std::size_t m_headBytes = 0;
    std::size_t m_framingBytes = 0;
    /// Consumed bytes that are the start of an element of the syntax, such as a header field.
    std::string m_pending;
    HttpRequest m_request;
    HttpResponse m_response;
};

} // namespace lycheebay
