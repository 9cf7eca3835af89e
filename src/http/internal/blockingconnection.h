#pragma once

#include "base/cancellation.h"
#include "estate/address.h"
#include "http/httpmessageparser.h"
#include "http/internal/deadlinestream.h"

#include <string>

namespace lycheebay {

/// How one exchange on a blocking connection ended.
struct BlockingExchange
{
    /// True if \a response is complete.
    bool isAnswered = false;
    /// Why the stream ended, if it did; Open otherwise.
    StreamState streamState = StreamState::Open;
    /// State of the response that was read.
    HttpMessageParser::State parserState = HttpMessageParser::State::Incomplete;
    /// True if the end of the connection framed the response.
    bool isFramedByEnd = false;
    /// True if bytes of the request may have reached the peer.
    bool isSent = false;
    /// True if bytes of a response came.
    bool hasReceived = false;
    /// True if the connection can carry another exchange.
    bool isReusable = false;
    HttpResponse response;
};

/// One TCP connection to an HTTP/1.1 server, with one exchange at a time, for threads that wait.
/// It never sends a request twice and never reconnects. Not thread-safe.
class BlockingConnection final
{
public:
    BlockingConnection() = default;
    ~BlockingConnection();
    BlockingConnection(const BlockingConnection &) = delete;
    BlockingConnection &operator=(const BlockingConnection &) = delete;

    /// Returns Open, or why the connection could not be established. A null \a cancellation cannot
    /// be triggered.
    StreamState connect(const Address &address, TimePoint deadline,
                        const Cancellation *cancellation);
    /// Returns whether the connection is open and no bytes arrived since the last exchange.
    bool isReusable() const;

    /// Sends \a request, whose headers must include Host, and receives the response.
    /// Precondition: connected.
    BlockingExchange exchange(const HttpRequest &request, TimePoint deadline,
                              const Cancellation *cancellation, const HttpMessageLimits &limits);

private:
    int m_socket = -1;
};

} // namespace lycheebay
