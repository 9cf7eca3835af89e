#include "http/internal/httpsession.h"

#include "base/releasememory.h"
#include "http/httpserialization.h"
#include "http/httpstatus.h"

#include <asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cstdint>

namespace lycheebay {

namespace {

// Bytes read ahead while a request runs; a caller that sends more waits.
constexpr std::size_t kReadAheadBytes = 64UL << 10U;

// Bounds for what is read of a request after it was refused.
constexpr std::size_t kMaxDiscardedBytes = 4UL << 20U;
constexpr Duration kMaxDiscardTime = std::chrono::seconds(1);

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

/// True if the peer has ended the connection and all of its bytes were read.
bool isClosedByPeer(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace

HttpSession::HttpSession(HttpListener &listener, asio::ip::tcp::socket socket, bool overLimit)
    : m_listener(&listener)
    , m_callerMemory(listener.m_memory)
    , m_memory(m_callerMemory, [this] { releaseForOthers(); })
    , m_socket(std::move(socket))
    , m_parser(HttpMessageParser::Kind::Request, listener.m_limits.message)
    , m_since(listener.m_clock.now())
    , m_overLimit(overLimit)
{
    ++m_listener->m_connectionCount;
}

void HttpSession::start()
{
    asio::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    read();
}

void HttpSession::close()
{
    if (!m_listener)
        return;
    const IntrusivePtr<HttpSession> self(this);
    --m_listener->m_connectionCount;
    if (m_exchange)
        --m_listener->m_pendingCount;
    m_listener = nullptr;
    unlink();
    release(); // the listener's reference
    asio::error_code ec;
    m_socket.close(ec);
    m_parser.restart();
    releaseMemory(m_input);
    m_memory.resize(0);
}

void HttpSession::exchangeEnded(const HttpExchange &exchange)
{
    if (m_exchange != &exchange)
        return;
    close();
    m_exchange = nullptr;
}

void HttpSession::closeIfExpired(TimePoint now)
{
    if (m_exchange)
        return;
    if (m_writing) {
        if (now - m_takenAt > m_listener->m_limits.idle)
            close();
    } else if (m_isDiscarding) {
        if (now > m_expiresAt)
            close();
    } else if (!m_parser.hasStarted()) {
        if (now - m_since > m_listener->m_limits.idle)
            close();
    } else if (now > m_expiresAt) {
        if (m_isHeadRead)
            refuse(httpstatus::kRequestTimeout, "body_too_slow");
        else
            close();
    }
}

bool HttpSession::isIdle(TimePoint now, Duration span) const
{
    return !m_exchange && !m_writing && !m_parser.hasStarted() && m_input.empty()
           && now - m_since >= span;
}

bool HttpSession::isStalled(TimePoint now, Duration span) const
{
    return !m_exchange && now - (m_writing ? m_takenAt : m_since) >= span;
}

void HttpSession::moveToBack()
{
    unlink();
    m_listener->m_sessions.pushBack(this);
}

void HttpSession::read()
{
    if (m_reading || !m_listener || m_input.size() > kReadAheadBytes)
        return;
    m_reading = true;
    const IntrusivePtr<HttpSession> self(this);
    m_socket.async_read_some(asio::buffer(m_buffer), [self](asio::error_code ec, std::size_t n) {
        self->m_reading = false;
        if (self->m_listener)
            self->onRead(ec, n);
    });
}

void HttpSession::onRead(asio::error_code ec, std::size_t n)
{
    if (ec) {
        const IntrusivePtr<HttpSession> self(this);
        close();
        callerGone();
        return;
    }
    if (m_isDiscarding) {
        discard(n);
        return;
    }
    m_input.append(m_buffer.data(), n);
    if (!m_exchange && !m_writing)
        parse();
    holdMemory();
    read();
}

void HttpSession::holdMemory()
{
    if (!m_listener)
        return;
    if (m_input.empty())
        releaseMemory(m_input);
    m_memory.resize(m_parser.heldBytes() + m_input.capacity() + m_output.capacity());
}

void HttpSession::releaseForOthers()
{
    const IntrusivePtr<HttpSession> self(this);
    m_memory.resize(0);
    if (m_exchange || m_writing || !m_parser.isHeadComplete()) {
        close();
        callerGone();
        return;
    }
    refuse(httpstatus::kUnavailable, "out_of_memory");
}

void HttpSession::parse()
{
    const bool wasStarted = m_parser.hasStarted();
    m_input.erase(0, m_parser.feed(m_input));
    if (!wasStarted && m_parser.hasStarted()) {
        m_since = m_listener->m_clock.now();
        m_expiresAt = m_since + m_listener->m_limits.head;
        m_isHeadRead = false;
    }
    if (!m_isHeadRead && m_parser.isHeadComplete())
        headRead();
    if (m_parser.state() == HttpMessageParser::State::Incomplete) {
        if (m_isHeadRead && m_overLimit)
            handleRequest();
        return;
    }
    if (m_parser.state() != HttpMessageParser::State::Complete) {
        reject(m_parser.state());
        return;
    }
    handleRequest();
}

void HttpSession::headRead()
{
    m_isHeadRead = true;
    m_headAt = m_listener->m_clock.now();
    if (m_parser.state() != HttpMessageParser::State::Incomplete || m_overLimit)
        return;
    const HttpRequest &head = m_parser.request();
    Duration left = m_listener->m_limits.body;
    if (m_listener->m_bodyTime)
        left = std::min(left, m_listener->m_bodyTime(head));
    m_expiresAt = m_headAt + left;
    // The caller waits for leave to send its body (RFC 9110, 10.1.1).
    if (findHeader(head.headers, "Expect"))
        write(std::string(kContinue), AfterWrite::ReadBody);
}

void HttpSession::handleRequest()
{
    // After a delay in the network or here, the request and the end of its caller come together.
    if (m_input.empty() && isClosedByPeer(m_socket)) {
        close();
        return;
    }
    m_isDiscarding = m_parser.state() == HttpMessageParser::State::Incomplete;
    m_lastRequest = m_overLimit || !m_parser.isKeepAlive();
    moveToBack();
    const auto exchange = makeRef<HttpExchange>(IntrusivePtr<HttpSession>(this),
                                                m_parser.takeRequest(), m_headAt);
    m_parser.restart();
    m_exchange = exchange.get();
    ++m_listener->m_pendingCount;
    holdMemory(); // less, since the exchange holds the request now
    exchange->holdMemory();
    if (m_exchange == exchange.get())
        m_listener->m_handler(exchange);
}

void HttpSession::reject(HttpMessageParser::State state)
{
    if (state == HttpMessageParser::State::BodyTooLarge)
        refuse(httpstatus::kContentTooLarge, "body_too_large");
    else if (state == HttpMessageParser::State::HeadTooLarge)
        refuse(httpstatus::kHeadTooLarge, "head_too_large");
    else
        refuse(httpstatus::kBadRequest, "malformed_request");
}

void HttpSession::refuse(int status, const char *reason)
{
    const HttpRequest request = m_parser.takeRequest();
    m_isDiscarding = true;
    m_parser.restart();
    releaseMemory(m_input);
    const auto &writer = m_listener->m_refusalWriter;
    const HttpResponse response =
            writer ? writer(request, status, reason) : HttpResponse{ status, {}, {} };
    write(serializeResponse(response, request, true), AfterWrite::Discard);
}

void HttpSession::refuse(const HttpExchange &exchange, int status, const char *reason)
{
    if (m_exchange != &exchange || !m_listener)
        return;
    const auto &writer = m_listener->m_refusalWriter;
    respond(exchange,
            writer ? writer(exchange.request(), status, reason) : HttpResponse{ status, {}, {} },
            true);
}

void HttpSession::respond(const HttpExchange &exchange, const HttpResponse &response, bool closes)
{
    if (m_exchange != &exchange)
        return;
    m_exchange = nullptr;
    if (!m_listener)
        return;
    --m_listener->m_pendingCount;
    const bool last = closes || m_lastRequest || m_listener->m_closesAfterResponses;
    AfterWrite next = last ? AfterWrite::Close : AfterWrite::NextRequest;
    if (m_isDiscarding)
        next = AfterWrite::Discard;
    write(serializeResponse(response, exchange.request(), last), next);
}

void HttpSession::write(std::string bytes, AfterWrite next)
{
    const IntrusivePtr<HttpSession> self(this);
    m_writing = true;
    m_output = std::move(bytes);
    holdMemory();
    if (!m_listener)
        return;
    const auto untilAll = [self](asio::error_code ec, std::size_t) -> std::size_t {
        if (self->m_listener)
            self->m_takenAt = self->m_listener->m_clock.now();
        return ec ? 0 : SIZE_MAX;
    };
    asio::async_write(m_socket, asio::buffer(m_output), untilAll,
                      [self, next](asio::error_code ec, std::size_t) {
                          self->m_writing = false;
                          releaseMemory(self->m_output);
                          if (!self->m_listener)
                              return;
                          if (ec)
                              self->close();
                          else
                              self->written(next);
                      });
}

void HttpSession::written(AfterWrite next)
{
    holdMemory();
    if (!m_listener)
        return;
    if (next == AfterWrite::Close || next == AfterWrite::Discard) {
        asio::error_code ec; // the peer may have closed first
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
        if (next == AfterWrite::Close)
            close();
        else
            m_expiresAt = m_listener->m_clock.now() + kMaxDiscardTime;
        return;
    }
    if (next == AfterWrite::NextRequest) {
        m_since = m_listener->m_clock.now();
        moveToBack();
    }
    if (!m_input.empty()) {
        parse();
        holdMemory();
    }
    read();
}

void HttpSession::discard(std::size_t n)
{
    m_discardedBytes += n;
    if (m_discardedBytes > kMaxDiscardedBytes)
        close();
    else
        read();
}

void HttpSession::callerGone()
{
    if (!m_exchange)
        return;
    const IntrusivePtr<HttpExchange> exchange(m_exchange);
    m_exchange = nullptr;
    exchange->m_isCallerGone = true;
    const auto callback = std::move(exchange->m_callerGone);
    exchange->m_callerGone = nullptr;
    if (callback)
        callback();
}

} // namespace lycheebay
