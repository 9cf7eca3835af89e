#pragma once

#include "base/intrusivelist.h"
#include "base/intrusiveptr.h"
#include "base/itimerservice.h"
#include "estate/address.h"
#include "http/httpmessageparser.h"
#include "http/httpserialization.h"
#include "http/responsememory.h"

#include <asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <string>

namespace lycheebay {

/// How one exchange on a client connection ended.
enum class TransferResult {
    Answered,  ///< a complete response was read
    NotSent,   ///< no byte of the request can have reached the peer
    Lost,      ///< the connection ended before a complete response; the peer may have acted
    Malformed, ///< the peer sent bytes that are no response, or too many; it may have acted
};

/// Time bounds of a client connection, and its part in the bound of memory.
struct ClientConnectionOptions
{
    /// Bound for the TCP handshake.
    Duration connect = std::chrono::milliseconds(500);
    /// Bound for unacknowledged bytes (TCP_USER_TIMEOUT); ends a connection that went silent.
    Duration unacknowledged = std::chrono::milliseconds(1500);
    /// Interval of TCP keep-alive probes; ends a silent connection that only waits for an answer.
    /// Zero sends none.
    Duration keepAlive{};
    /// False leaves the responses out of ResponseMemory, so that they are not ended for the memory
    /// that others take. For few connections to one server only.
    bool sharesMemory = true;

    auto operator<=>(const ClientConnectionOptions &) const = default;
};

/// One TCP connection to an HTTP/1.1 server, with one exchange at a time. It never sends a request
/// twice and never reconnects. Not thread-safe: use it on its event loop only.
class HttpClientConnection final : public RefCounted, public ListNode<HttpClientConnection>
{
public:
    using Done = std::function<void(TransferResult result, HttpResponse response)>;
    /// Tells whether a response belongs to the request that was sent; one that does not is dropped.
    using Filter = std::function<bool(const HttpResponse &)>;

    HttpClientConnection(asio::io_context &context, ITimerService &timers, const IClock &clock,
                         const Address &address, const ClientConnectionOptions &options);

    /// Sends \a request, connecting first if needed, and calls \a done once, unless close() comes
    /// before. Precondition: no exchange is running and isOpen().
    void send(SerializedRequest request, bool isHead, Filter filter, Done done);
    /// Sends a request of which \a bytes are head and body.
    void send(std::string bytes, bool isHead, Filter filter, Done done);

    /// Ends the connection without calling the done callback.
    void close();

    /// True until the connection ended or turned out to be unusable.
    bool isOpen() const { return !m_closed; }
    bool isConnected() const { return m_connected; }
    /// True if the server refused the connection: no process listens at the address.
    bool isRefused() const { return m_refused; }
    bool isBusy() const { return static_cast<bool>(m_done); }
    /// True if a response to another request was dropped in the current or last exchange.
    bool hasDroppedResponses() const { return m_droppedResponses > 0; }
    /// When the last bytes came; the epoch before the first ones.
    TimePoint lastReadAt() const { return m_lastReadAt; }
    /// True if an idle connection may carry a further request: it was used less than \a maxIdle
    /// ago, and less than what the server told.
    bool isReusable(TimePoint now, Duration maxIdle) const;

private:
    void connect();
    void write();
    void read();
    void onRead(asio::error_code ec, std::size_t n);
    void onResponse();
    void noteIdleLimit(const HttpResponse &response);
    void end(TransferResult result, HttpResponse response = {});

    asio::ip::tcp::socket m_socket;
    ITimerService &m_timers;
    const IClock &m_clock;
    const Address m_address;
    const ClientConnectionOptions m_options;
    TimerSubscription m_connectTimer;
    HttpMessageParser m_parser;
    ResponseMemory::Share m_memory;
    std::array<char, 16384> m_buffer{};
    SerializedRequest m_output;
    Filter m_filter;
    Done m_done;
    TimePoint m_idleSince;
    TimePoint m_lastReadAt;
    Duration m_serverIdleLimit = Duration::max();
    int m_droppedResponses = 0;
    bool m_connected = false;
    bool m_refused = false;
    bool m_reading = false;
    bool m_writing = false;
    /// The system has taken over all bytes of the request.
    bool m_sentWhole = false;
    bool m_closed = false;
};

} // namespace lycheebay
