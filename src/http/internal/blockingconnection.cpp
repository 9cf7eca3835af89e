#include "http/internal/blockingconnection.h"

#include "http/httpserialization.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace lycheebay {

BlockingConnection::~BlockingConnection()
{
    if (m_socket >= 0)
        close(m_socket);
}

StreamState BlockingConnection::connect(const Address &address, TimePoint deadline,
                                        const Cancellation *cancellation)
{
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &peer.sin_addr) != 1)
        return StreamState::Failed;
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0)
        return StreamState::Failed;
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(m_socket, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) == 0)
        return StreamState::Open;
    if (errno != EINPROGRESS)
        return StreamState::Failed;
    const StreamState state = waitForSocket(m_socket, POLLOUT, deadline, cancellation);
    if (state != StreamState::Open)
        return state;
    int error = 0;
    socklen_t size = sizeof(error);
    const bool known = getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0;
    return known && error == 0 ? StreamState::Open : StreamState::Failed;
}

bool BlockingConnection::isReusable() const
{
    pollfd polled{ m_socket, POLLIN | POLLRDHUP, 0 };
    return m_socket >= 0 && poll(&polled, 1, 0) == 0;
}

BlockingExchange BlockingConnection::exchange(const HttpRequest &request, TimePoint deadline,
                                              const Cancellation *cancellation,
                                              const HttpMessageLimits &limits)
{
    DeadlineStream stream(m_socket);
    stream.setDeadline(deadline);
    stream.setCancellation(cancellation);
    stream.write(serializeRequest(request));
    HttpMessageParser parser(HttpMessageParser::Kind::Response, limits);
    parser.restart(request.method == "HEAD");
    BlockingExchange exchange;
    stream.flush();
    while (parser.state() == HttpMessageParser::State::Incomplete) {
        if (!stream.buffered().empty() || stream.fill()) {
            stream.consume(parser.feed(stream.buffered()));
            continue;
        }
        exchange.isFramedByEnd =
                stream.state() == StreamState::EndOfStream && parser.isHeadComplete();
        if (!exchange.isFramedByEnd)
            break;
        parser.finish();
    }
    exchange.streamState = stream.state();
    exchange.parserState = parser.state();
    exchange.isSent = stream.hasSent();
    exchange.hasReceived = stream.hasReceived();
    exchange.isAnswered = parser.state() == HttpMessageParser::State::Complete;
    if (!exchange.isAnswered)
        return exchange;
    exchange.isReusable = parser.isKeepAlive() && stream.buffered().empty()
                          && stream.state() == StreamState::Open && isReusable();
    exchange.response = parser.takeResponse();
    return exchange;
}

} // namespace lycheebay
