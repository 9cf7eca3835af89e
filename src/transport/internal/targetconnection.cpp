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

/// Room for the head of a response beside its body.
constexpr std::size_t kMaxResponseHead = 64u << 10;

/// Writes a request to a stream and reads the response from it; httplib's own handling of
/// connections, with its silent reconnects and its read-ahead that hides extra bytes, is not used.
class ResponseReader final : public httplib::ClientImpl
{
public:
    explicit ResponseReader(const Address &address)
        : httplib::ClientImpl(address.host, address.port)
    {
        set_url_encode(false);
        set_decompress(false);
    }

    /// Returns whether the response is whole.
    bool read(DeadlineStream &stream, httplib::Request &request)
    {
        bool framed = false;
        bool withoutBody = false;
        request.response_handler = [&](const httplib::Response &head) {
            framed = isFramed(request.method, head);
            // httplib would read the body that the head of a 304 describes but that never comes.
            withoutBody = head.status == 304;
            m_response = head;
            return framed && !withoutBody;
        };
        httplib::Error error = httplib::Error::Success;
        httplib::Response response;
        const bool completed = process_request(stream, request, response, false, error);
        if (completed)
            m_response = std::move(response);
        // httplib calls the handler only where it expects a body.
        if (completed && !framed)
            framed = isFramed(request.method, m_response);
        return framed && (withoutBody || (completed && isWhole(request.method)));
    }

    const httplib::Response &response() const { return m_response; }

private:
    /// Without exactly one sign of where the body ends, a cut response would pass for a whole one.
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

    bool isWhole(const std::string &method) const
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

AttemptOutcome wholeOutcome(const HttpResponse &response)
{
    const std::string *notRun = findHeader(response.headers, kNotRunHeader);
    if (response.status == 503 && notRun && *notRun == "1")
        return AttemptOutcome::Shed;
    return response.status < 500 ? AttemptOutcome::Succeeded : AttemptOutcome::Failed;
}

bool closes(const httplib::Response &response)
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

bool TargetConnection::isClean() const
{
    pollfd polled{ m_socket, POLLIN | POLLRDHUP, 0 };
    return m_socket >= 0 && poll(&polled, 1, 0) == 0;
}

bool TargetConnection::exchange(const Address &address, const HttpRequest &request,
                                TimePoint deadline, const Cancellation *cancellation,
                                std::size_t maxResponseBytes, ExchangeResult &answer)
{
    DeadlineStream stream(m_socket);
    stream.setDeadline(deadline);
    stream.setCancellation(cancellation);
    stream.setReadLimit(maxResponseBytes + kMaxResponseHead);
    ResponseReader reader(address);
    httplib::Request message = toHttplib(request);
    const bool whole = reader.read(stream, message);
    answer.sent = stream.hasSent();
    answer.responseBegan = stream.hasReceived();
    if (!whole) {
        answer.result.outcome = failureOutcome(stream.state());
        return false;
    }
    answer.response = fromHttplib(reader.response());
    answer.result.outcome = wholeOutcome(*answer.response);
    if (const std::string *load = findHeader(answer.response->headers, kLoadHeader))
        answer.result.load = parseLoadHeader(*load);
    return !closes(reader.response()) && stream.buffered().empty()
           && stream.state() == StreamState::Open && isClean();
}

} // namespace lycheebay
