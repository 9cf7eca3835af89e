#include "transport/internal/targetconnection.h"

#include "transport/loadheader.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace lycheebay {

namespace {

/// Read limit for the head of a response, in addition to its body.
constexpr std::size_t kMaxResponseHead = 64u << 10;

/// Sends one request over a stream and parses the response, with httplib's code for both. httplib's
/// own connections are not used: they reconnect silently, and their read buffer hides bytes that
/// follow a response.
class ExchangeClient final : public httplib::ClientImpl
{
public:
    explicit ExchangeClient(const Address &address)
        : httplib::ClientImpl(address.host, address.port)
    {
        set_url_encode(false);
        set_decompress(false);
    }

    /// Returns whether the response is complete.
    bool exchange(DeadlineStream &stream, httplib::Request &request)
    {
        bool framed = false;
        bool withoutBody = false;
        request.response_handler = [&](const httplib::Response &head) {
            framed = isFramed(request.method, head);
            // A 304 has no body, but httplib would wait for one if there is a Content-Length.
            withoutBody = head.status == 304;
            m_response = head;
            return framed && !withoutBody;
        };
        httplib::Error error = httplib::Error::Success;
        httplib::Response response;
        const bool completed = process_request(stream, request, response, false, error);
        if (completed)
            m_response = std::move(response);
        // httplib calls the response handler only if it expects a body.
        if (completed && !framed)
            framed = isFramed(request.method, m_response);
        return framed && (withoutBody || (completed && isComplete(request.method)));
    }

    const httplib::Response &response() const { return m_response; }

private:
    /// Returns whether exactly one header defines the length of the body, where there is one. A
    /// truncated response could otherwise be taken for a complete one.
    static bool isFramed(const std::string &method, const httplib::Response &head)
    {
        const std::size_t lengths = head.get_header_value_count("Content-Length");
        const std::size_t encodings = head.get_header_value_count("Transfer-Encoding");
        if (head.status < 200 || lengths + encodings > 1)
            return false;
        if (method == "HEAD" || head.status == 204 || head.status == 304)
            return true;
        if (encodings == 1)
            return sameHeaderName(head.get_header_value("Transfer-Encoding"), "chunked");
        const std::string length = head.get_header_value("Content-Length");
        return !length.empty() && length.size() < 18
               && length.find_first_not_of("0123456789") == std::string::npos;
    }

    bool isComplete(const std::string &method) const
    {
        if (method == "HEAD" || m_response.status == 204
            || !m_response.has_header("Content-Length")) {
            return true;
        }
        return std::to_string(m_response.body.size())
               == m_response.get_header_value("Content-Length");
    }

    httplib::Response m_response;
};

httplib::Request toHttplib(const HttpRequest &request)
{
    httplib::Request result;
    result.method = request.method;
    result.path = request.target;
    result.body = request.body;
    for (const HttpHeader &header : endToEndHeaders(request.headers))
        result.headers.emplace(header.name, header.value);
    return result;
}

std::shared_ptr<const HttpResponse> fromHttplib(const httplib::Response &response)
{
    HttpResponse result;
    result.status = response.status;
    for (const auto &[name, value] : response.headers)
        result.headers.push_back({ name, value });
    result.headers = endToEndHeaders(result.headers);
    result.body = response.body;
    return std::make_shared<const HttpResponse>(std::move(result));
}

AttemptOutcome failureOutcome(StreamState state)
{
    if (state == StreamState::TimedOut)
        return AttemptOutcome::TimedOut;
    return state == StreamState::Cancelled ? AttemptOutcome::Cancelled
                                           : AttemptOutcome::ConnectionLost;
}

AttemptOutcome outcomeOfResponse(const HttpResponse &response)
{
    const std::string *notRun = findHeader(response.headers, kNotRunHeader);
    if (response.status == 503 && notRun && *notRun == "1")
        return AttemptOutcome::Shed;
    return response.status < 500 ? AttemptOutcome::Succeeded : AttemptOutcome::Failed;
}

bool closesConnection(const httplib::Response &response)
{
    return response.version != "HTTP/1.1" || response.status == 304
           || (response.has_header("Connection")
               && !sameHeaderName(response.get_header_value("Connection"), "keep-alive"));
}

} // namespace

TargetConnection::~TargetConnection()
{
    if (m_socket >= 0)
        close(m_socket);
}

StreamState TargetConnection::connect(const Address &address, TimePoint deadline,
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

bool TargetConnection::isReusable() const
{
    pollfd polled{ m_socket, POLLIN | POLLRDHUP, 0 };
    return m_socket >= 0 && poll(&polled, 1, 0) == 0;
}

bool TargetConnection::exchange(const Address &address, const HttpRequest &request,
                                TimePoint deadline, const Cancellation *cancellation,
                                std::size_t maxResponseBytes, ExchangeResult &exchangeResult)
{
    DeadlineStream stream(m_socket);
    stream.setDeadline(deadline);
    stream.setCancellation(cancellation);
    stream.setReadLimit(maxResponseBytes + kMaxResponseHead);
    ExchangeClient client(address);
    httplib::Request message = toHttplib(request);
    const bool complete = client.exchange(stream, message);
    exchangeResult.sent = stream.hasSent();
    exchangeResult.responseBegan = stream.hasReceived();
    if (!complete) {
        exchangeResult.result.outcome = failureOutcome(stream.state());
        return false;
    }
    exchangeResult.response = fromHttplib(client.response());
    exchangeResult.result.outcome = outcomeOfResponse(*exchangeResult.response);
    if (const std::string *load = findHeader(exchangeResult.response->headers, kLoadHeader))
        exchangeResult.result.load = parseLoadHeader(*load);
    return !closesConnection(client.response()) && stream.buffered().empty()
           && stream.state() == StreamState::Open && isReusable();
}

} // namespace lycheebay
