#include "transport/internal/callerconnection.h"

#include "base/log.h"
#include "transport/loadheader.h"
#include "transport/problem.h"

#include <fmt/format.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <exception>

namespace lycheebay {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
/// Limits for reading the remaining input of a refused caller. Closing a socket with unread input
/// resets the connection, and the caller may lose the response.
constexpr std::chrono::milliseconds kDiscardTimeout{ 50 };
constexpr std::size_t kMaxDiscardedBytes = 64u << 10;
constexpr std::chrono::seconds kRefusedRetryAfter{ 1 };
/// Limit for reading the head of a request on a refused connection.
constexpr std::chrono::milliseconds kRefusedHeadTimeout{ 100 };

/// A body is counted when it has grown by this much.
constexpr std::size_t kHoldStep = 64u << 10;
/// Copies of a body in the request, in the bytes to send and in the stream to the target.
constexpr std::size_t kCopiesInWork = 3;
/// Copies of a response's body: in the response and in the stream to the caller.
constexpr std::size_t kCopiesInSending = 2;

TimePoint deadlineAfter(Duration duration)
{
    return std::chrono::steady_clock::now() + duration;
}

const char *reasonPhrase(int status)
{
    if (status < 300)
        return "OK";
    if (status < 400)
        return "Redirection";
    return status < 500 ? "Client Error" : "Server Error";
}

bool mayHaveBody(std::string_view method, int status)
{
    return method != "HEAD" && status != 204 && status != 304;
}

/// Returns false for control characters, which could add headers or a second response (response
/// splitting).
bool isSendable(const HttpHeader &header)
{
    const std::string text = header.name + header.value;
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return c != '\t' && static_cast<unsigned char>(c) < 0x20; });
}

HeadLimits headLimits(const HttpServerSettings &settings)
{
    return { settings.maxRequestTargetBytes, settings.maxHeadBytes, settings.maxHeaders,
             settings.maxBodyBytes };
}

} // namespace

CallerConnection::CallerConnection(int socket, const HttpServerSettings &settings,
                                   const HttpHandler &handler, const Cancellation &stopping,
                                   HttpServerCounters &counters, CallerRegistry &registry)
    : m_socket(socket)
    , m_settings(settings)
    , m_handler(handler)
    , m_stopping(stopping)
    , m_counters(counters)
    , m_stream(socket)
    , m_registration(registry, socket)
{}

void CallerConnection::serve()
{
    while (serveRequest()) {}
}

void CallerConnection::refuse()
{
    m_stream.setDeadline(deadlineAfter(kRefusedHeadTimeout));
    m_stream.setReadLimit(m_settings.maxHeadBytes);
    while (m_stream.buffered().find(kHeadEnd) == std::string_view::npos && m_stream.fill()) {}
    const Refusal refusal{ 503, "too many connections to this instance", kRefusedRetryAfter };
    // m_stream cannot send any more after a timeout, so the response uses a new stream.
    DeadlineStream stream(m_socket);
    respond(stream, problemResponse(outcomeOfUnhandledRequest(), refusal), "", false);
    discardInput();
}

/// Returns the outcome to report for a request that is refused before the outcome table is looked
/// up. With an idempotency key it is "unknown": the request may repeat one that has already run.
const char *CallerConnection::outcomeOfUnhandledRequest() const
{
    const std::string_view input = m_stream.buffered();
    const auto end = input.find(kHeadEnd);
    if (end == std::string_view::npos)
        return "unknown";
    const auto parsed =
            parseRequestHead(input.substr(0, end + kHeadEnd.size()), headLimits(m_settings));
    const auto *head = std::get_if<RequestHead>(&parsed);
    return head && findHeader(head->request.headers, kIdempotencyKeyHeader) ? "unknown" : "not-run";
}

bool CallerConnection::isGone() const
{
    pollfd polled{ m_socket, POLLRDHUP, 0 };
    return poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool CallerConnection::serveRequest()
{
    std::size_t headBytes = 0;
    if (!readHead(headBytes))
        return false;
    const auto parsed =
            parseRequestHead(m_stream.buffered().substr(0, headBytes), headLimits(m_settings));
    if (const auto *error = std::get_if<HeadError>(&parsed)) {
        reject(error->status, error->reason);
        return false;
    }
    m_stream.consume(headBytes);
    RequestHead head = std::get<RequestHead>(parsed);
    if (!readBody(head, head.request.body))
        return false;
    m_registration.work();
    m_registration.hold(kCopiesInWork * head.request.body.size());
    const HttpResponse response = handle(head.request);
    const bool keepAlive = head.keepAlive && !m_stopping.isCancelled();
    const std::string method = head.request.method;
    head = {}; // its body is not needed any more
    m_registration.hold(kCopiesInSending * response.body.size());
    const bool isSent = respond(m_stream, response, method, keepAlive);
    m_registration.hold(0);
    m_registration.wait();
    return isSent && keepAlive;
}

bool CallerConnection::readHead(std::size_t &headBytes)
{
    m_stream.setDeadline(deadlineAfter(m_settings.idleTimeout));
    m_stream.setCancellation(&m_stopping);
    if (m_stream.buffered().empty() && !m_stream.fill())
        return false;
    m_stream.setCancellation(nullptr);
    m_stream.setDeadline(deadlineAfter(m_settings.headTimeout));
    for (;;) {
        const auto end = m_stream.buffered().find(kHeadEnd);
        headBytes = end + kHeadEnd.size();
        if (end != std::string_view::npos && headBytes <= m_settings.maxHeadBytes)
            return true;
        if (m_stream.buffered().size() > m_settings.maxHeadBytes) {
            reject(431, "the request's head is too large");
            return false;
        }
        if (m_stream.fill())
            continue;
        if (m_stream.state() == StreamState::TimedOut)
            reject(408, "the request's head took too long", "unknown");
        return false;
    }
}

bool CallerConnection::readBody(const RequestHead &head, std::string &body)
{
    m_stream.setDeadline(deadlineAfter(m_settings.bodyTimeout));
    if (head.expectsContinue && m_stream.buffered().empty()) {
        m_stream.write("HTTP/1.1 100 Continue\r\n\r\n");
        if (!m_stream.flush())
            return false;
    }
    std::size_t held = 0;
    while (m_stream.buffered().size() < head.bodyBytes) {
        const std::size_t size = m_stream.buffered().size();
        if (size >= held + kHoldStep)
            m_registration.hold(held = size);
        if (m_stream.fill())
            continue;
        m_stream.take(m_stream.buffered().size()); // not needed any more
        if (m_registration.isEnded())
            reject(503, "the memory of this instance is needed for others");
        else if (m_stream.state() == StreamState::TimedOut) {
            const bool hasKey = findHeader(head.request.headers, kIdempotencyKeyHeader);
            reject(408, "the request's body took too long", hasKey ? "unknown" : "not-run");
        }
        return false;
    }
    body = m_stream.take(head.bodyBytes);
    return true;
}

HttpResponse CallerConnection::handle(const HttpRequest &request)
{
    try {
        return m_handler(request, *this);
    } catch (const std::exception &e) {
        LOG4CPLUS_ERROR(componentLogger("http"), "request handler failed: " << e.what());
    } catch (...) {
        LOG4CPLUS_ERROR(componentLogger("http"), "request handler failed");
    }
    ++m_counters.handlerFailures;
    return problemResponse("unknown", { 500, "internal error", {} });
}

void CallerConnection::reject(int status, std::string reason, const char *outcome)
{
    ++m_counters.badRequests;
    // m_stream cannot send any more after a timeout, so the response uses a new stream.
    DeadlineStream stream(m_socket);
    respond(stream, problemResponse(outcome, { status, std::move(reason), {} }), "", false);
    discardInput();
}

bool CallerConnection::respond(DeadlineStream &stream, const HttpResponse &response,
                               std::string_view method, bool keepAlive)
{
    stream.setDeadline(deadlineAfter(m_settings.writeTimeout));
    stream.write(fmt::format("HTTP/1.1 {} {}\r\n", response.status, reasonPhrase(response.status)));
    for (const HttpHeader &header : endToEndHeaders(response.headers)) {
        if (isSendable(header))
            stream.write(fmt::format("{}: {}\r\n", header.name, header.value));
    }
    if (!keepAlive)
        stream.write("Connection: close\r\n");
    const bool withBody = mayHaveBody(method, response.status);
    if (withBody)
        stream.write(fmt::format("Content-Length: {}\r\n", response.body.size()));
    stream.write("\r\n");
    if (withBody)
        stream.write(response.body);
    return stream.flush();
}

void CallerConnection::discardInput()
{
    shutdown(m_socket, SHUT_WR);
    DeadlineStream stream(m_socket);
    stream.setDeadline(deadlineAfter(kDiscardTimeout));
    stream.setReadLimit(kMaxDiscardedBytes);
    while (stream.fill())
        stream.consume(stream.buffered().size());
}

} // namespace lycheebay
