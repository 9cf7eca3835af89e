#pragma once

#include "base/intrusivelist.h"
#include "base/intrusiveptr.h"
#include "base/itimerservice.h"
#include "estate/address.h"
#include "http/callermemory.h"
#include "http/httpmessageparser.h"

#include <absl/status/status.h>
#include <asio/ip/tcp.hpp>

#include <functional>

namespace lycheebay {

class HttpSession;

/// One request of a caller, waiting for its response. If its last reference goes without one, the
/// connection ends, so that the caller does not wait. Not thread-safe: use it on its event loop.
class HttpExchange final : public RefCounted
{
public:
    /// \a headAt is when the head of the request was complete.
    HttpExchange(IntrusivePtr<HttpSession> session, HttpRequest request, TimePoint headAt);
    ~HttpExchange() override;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const HttpRequest &request() const { return m_request; }
    /// When the head of the request was complete; the body may have come much later.
    TimePoint headAt() const { return m_headAt; }
    /// True if the connection was accepted over the limit of the listener. The request should be
    /// refused without work; its body may be missing, and the connection ends after the response.
    bool isOverLimit() const;

    /// Sends the response; \a closes ends the connection after it. Does nothing when the caller has
    /// gone or a response was sent before.
    void respond(const HttpResponse &response, bool closes = false);
    /// True if the caller has ended the connection before the response.
    bool isCallerGone() const { return m_isCallerGone; }
    /// Calls \a callback once if the caller ends the connection before the response. Precondition:
    /// isCallerGone() is false.
    void onCallerGone(std::function<void()> callback) { m_callerGone = std::move(callback); }
    /// Calls \a callback, which must respond, if the memory of the request is needed for others;
    /// see CallerMemory. Without a callback the request is refused.
    void onMemoryNeeded(std::function<void()> callback) { m_memoryNeeded = std::move(callback); }
    /// Tells that work on the request has begun, so that others are ended for their memory first.
    void setInUse() { m_memory.setInUse(); }

private:
    friend class HttpSession;

    /// Counts the memory of the request. It may be refused at once.
    void holdMemory();
    void releaseForOthers();

    IntrusivePtr<HttpSession> m_session;
    const HttpRequest m_request;
    const TimePoint m_headAt;
    std::function<void()> m_callerGone;
    std::function<void()> m_memoryNeeded;
    MessageMemory::Share m_memory;
    bool m_isCallerGone = false;
};

/// Bounds for the connections of a listener.
struct HttpListenerLimits
{
    HttpMessageLimits message;
    /// Longest time from the first byte of a request to the end of its head.
    Duration head = std::chrono::seconds(10);
    /// Longest time from the end of the head to the last byte of the body.
    Duration body = std::chrono::seconds(60);
    /// Longest time without a request on an open connection, and longest time in which a caller
    /// takes no byte of a response.
    Duration idle = std::chrono::seconds(60);
    /// Connections that are served. At the limit, a new connection takes the place of one that has
    /// been idle, or whose caller has completed no request and taken no response, for some time. If
    /// there is none, the new one is accepted over the limit, so that its request can be refused,
    /// and ends after it.
    std::size_t connections = 2000;
    /// Connections over the limit; further ones are closed at once.
    std::size_t overLimit = 250;

    auto operator<=>(const HttpListenerLimits &) const = default;
};

/// Accepts HTTP/1.1 connections on an event loop and passes their requests to a handler.
/// Not thread-safe: use it on its event loop.
class HttpListener final
{
public:
    using Handler = std::function<void(const IntrusivePtr<HttpExchange> &exchange)>;
    /// Returns the response to a request that the listener refuses itself. The request may be
    /// incomplete; \a reason is a word for logs.
    using RefusalWriter =
            std::function<HttpResponse(const HttpRequest &request, int status, const char *reason)>;

    /// Returns how long the body of a request with this head may take.
    using BodyTime = std::function<Duration(const HttpRequest &head)>;

    HttpListener(asio::io_context &context, ITimerService &timers, const IClock &clock,
                 Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Binds and starts accepting. Errors: Unavailable, naming the address.
    absl::Status start(const Address &address);
    /// Stops accepting; open connections go on.
    void stopAccepting();
    /// Ends every connection, also those with a request.
    void closeAll();
    /// From now on every response ends its connection.
    void closeAfterResponses() { m_closesAfterResponses = true; }

    /// Sets a function that may shorten the time for the body of a request.
    void setBodyTime(BodyTime bodyTime) { m_bodyTime = std::move(bodyTime); }
    /// Without a writer, refusals have no body.
    void setRefusalWriter(RefusalWriter writer) { m_refusalWriter = std::move(writer); }
    void setLimits(const HttpListenerLimits &limits) { m_limits = limits; }
    const HttpListenerLimits &limits() const { return m_limits; }

    /// Port that was bound; useful when port 0 was asked for. Precondition: start() succeeded.
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    std::size_t connectionCount() const { return m_connectionCount; }
    /// Requests that wait for their response.
    std::size_t pendingCount() const { return m_pendingCount; }

private:
    friend class HttpSession;

    void accept();
    /// Closes a connection that waits for its caller, so that there is room for another one;
    /// returns false if none is found.
    bool makeRoom();
    void closeExpired();

    asio::io_context &m_context;
    const IClock &m_clock;
    const Handler m_handler;
    RefusalWriter m_refusalWriter;
    BodyTime m_bodyTime;
    CallerMemory &m_memory;
    HttpListenerLimits m_limits;
    asio::ip::tcp::acceptor m_acceptor;
    TimerSubscription m_sweep;
    TimerSubscription m_acceptRetry;
    ITimerService &m_timers;
    /// In order of use, the latest last.
    IntrusiveList<HttpSession, HttpListener> m_sessions;
    std::size_t m_connectionCount = 0;
    std::size_t m_pendingCount = 0;
    bool m_closesAfterResponses = false;
};

} // namespace lycheebay
