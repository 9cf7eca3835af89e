#include "http/httpclientconnection.h"

#include "base/releasememory.h"

#include <asio/ip/address.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>

namespace lycheebay {

namespace {

// Bounds of a response. Bodies are held in memory, so that one server that sends bytes without end
// must not take a large share of the memory of a small instance.
constexpr HttpMessageLimits kResponseLimits{ 64UL << 10U, 2UL << 20U };
// Responses to earlier requests that are dropped while one is awaited.
constexpr int kMaxDroppedResponses = 4;

void setIntOption(asio::ip::tcp::socket &socket, int level, int name, int value)
{
    // Best effort: a kernel without the option only detects a silent connection later.
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

void applyOptions(asio::ip::tcp::socket &socket, const ClientConnectionOptions &options)
{
    using namespace std::chrono;
    constexpr int kKeepAliveProbes = 2;
    asio::error_code ec;
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    setIntOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                 static_cast<int>(duration_cast<milliseconds>(options.unacknowledged).count()));
    if (options.keepAlive <= Duration::zero())
        return;
    const int interval =
            std::max(1, static_cast<int>(duration_cast<seconds>(options.keepAlive).count()));
    setIntOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setIntOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    setIntOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    setIntOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

} // namespace

HttpClientConnection::HttpClientConnection(asio::io_context &context, ITimerService &timers,
                                           const IClock &clock, const Address &address,
                                           const ClientConnectionOptions &options)
    : m_socket(context)
    , m_timers(timers)
    , m_clock(clock)
    , m_address(address)
    , m_options(options)
    , m_parser(HttpMessageParser::Kind::Response, kResponseLimits)
    , m_memory(asio::use_service<ResponseMemory>(context),
               [this] { end(TransferResult::Malformed); })
{}

void HttpClientConnection::send(std::string bytes, bool isHead, Filter filter, Done done)
{
    send(SerializedRequest{ std::move(bytes), {} }, isHead, std::move(filter), std::move(done));
}

void HttpClientConnection::send(SerializedRequest request, bool isHead, Filter filter, Done done)
{
    m_parser.restart(isHead);
    m_droppedResponses = 0;
    m_output = std::move(request);
    m_filter = std::move(filter);
    m_done = std::move(done);
    if (m_connected)
        write();
    else
        connect();
}

void HttpClientConnection::close()
{
    m_done = nullptr;
    m_filter = nullptr;
    m_connectTimer.reset();
    m_closed = true;
    asio::error_code ec;
    m_socket.close(ec);
    m_parser.restart();
    m_memory.resize(0);
}

bool HttpClientConnection::isReusable(TimePoint now, Duration maxIdle) const
{
    // Half of the told limit: the server counts from its own last byte, and the next request needs
    // time to arrive.
    const Duration limit = std::min(maxIdle, m_serverIdleLimit / 2);
    return m_connected && !m_closed && !isBusy() && !m_writing && now - m_idleSince < limit;
}

void HttpClientConnection::connect()
{
    asio::error_code ec;
    const auto host = asio::ip::make_address(m_address.host, ec);
    if (!ec)
        m_socket.open(host.is_v4() ? asio::ip::tcp::v4() : asio::ip::tcp::v6(), ec);
    const IntrusivePtr<HttpClientConnection> self(this);
    if (ec) {
        // Called back later, as all other results are.
        m_connectTimer =
                m_timers.after(Duration::zero(), [self] { self->end(TransferResult::NotSent); });
        return;
    }
    applyOptions(m_socket, m_options);
    m_connectTimer =
            m_timers.after(m_options.connect, [self] { self->end(TransferResult::NotSent); });
    m_socket.async_connect({ host, m_address.port }, [self](asio::error_code error) {
        if (self->m_closed)
            return;
        self->m_connectTimer.reset();
        if (error) {
            self->m_refused = error == asio::error::connection_refused;
            self->end(TransferResult::NotSent);
            return;
        }
        self->m_connected = true;
        self->write();
    });
}

void HttpClientConnection::write()
{
    m_writing = true;
    m_sentWhole = false;
    const IntrusivePtr<HttpClientConnection> self(this);
    const std::array<asio::const_buffer, 2> buffers{ asio::buffer(m_output.head),
                                                     asio::buffer(m_output.body.bytes) };
    asio::async_write(m_socket, buffers, [self](asio::error_code ec, std::size_t) {
        // After a failed write the reading side ends the exchange; it first takes an answer that
        // came before.
        self->m_writing = false;
        self->m_sentWhole = !ec;
        releaseMemory(self->m_output);
    });
    read();
}

void HttpClientConnection::read()
{
    // The done callback may have started the next exchange, and with it a read.
    if (m_reading)
        return;
    m_reading = true;
    const IntrusivePtr<HttpClientConnection> self(this);
    m_socket.async_read_some(asio::buffer(m_buffer), [self](asio::error_code ec, std::size_t n) {
        self->m_reading = false;
        if (!self->m_closed)
            self->onRead(ec, n);
    });
}

void HttpClientConnection::onRead(asio::error_code ec, std::size_t n)
{
    if (!isBusy()) {
        // Bytes or an end on an idle connection: the next answer could not be trusted.
        close();
        return;
    }
    if (ec) {
        // The system reports a reset once. If a write got it, the read sees the end of the
        // connection, which then does not prove that the response is complete.
        if (ec == asio::error::eof && m_sentWhole && m_parser.isHeadComplete())
            m_parser.finish();
        if (m_parser.state() == HttpMessageParser::State::Complete)
            onResponse();
        else
            end(TransferResult::Lost);
        return;
    }
    m_lastReadAt = m_clock.now();
    std::string_view bytes(m_buffer.data(), n);
    while (!bytes.empty() && isBusy()) {
        bytes.remove_prefix(m_parser.feed(bytes));
        if (m_parser.state() == HttpMessageParser::State::Incomplete) {
            if (m_options.sharesMemory)
                m_memory.resize(m_parser.heldBytes());
            break;
        }
        if (m_parser.state() != HttpMessageParser::State::Complete) {
            end(TransferResult::Malformed);
            return;
        }
        if (!bytes.empty())
            m_closed = true; // What follows belongs to no request of ours; checked in onResponse().
        onResponse();
        if (m_closed)
            return;
    }
    if (!m_closed)
        read();
}

void HttpClientConnection::onResponse()
{
    const bool hasExtraBytes = m_closed;
    const bool keepAlive = m_parser.isKeepAlive();
    HttpResponse response = m_parser.takeResponse();
    m_memory.resize(0);
    if (m_filter && !m_filter(response)) {
        // A late second answer to an earlier request. The right one may follow.
        if (++m_droppedResponses > kMaxDroppedResponses) {
            end(TransferResult::Malformed);
            return;
        }
        m_closed = false;
        m_serverIdleLimit = Duration::zero();
        m_parser.restart();
        if (!keepAlive)
            end(TransferResult::Lost);
        return;
    }
    noteIdleLimit(response);
    const bool reusable = keepAlive && !hasExtraBytes && !m_writing;
    const Done done = std::move(m_done);
    m_done = nullptr;
    m_filter = nullptr;
    m_idleSince = m_clock.now();
    if (!reusable)
        close();
    done(TransferResult::Answered, std::move(response));
}

void HttpClientConnection::noteIdleLimit(const HttpResponse &response)
{
    const std::string *text = findHeader(response.headers, "Keep-Alive");
    if (!text || m_serverIdleLimit == Duration::zero())
        return;
    constexpr std::string_view kTimeout = "timeout=";
    const auto start = text->find(kTimeout);
    if (start == std::string::npos)
        return;
    int value = 0;
    const char *first = text->data() + start + kTimeout.size();
    if (std::from_chars(first, text->data() + text->size(), value).ec == std::errc())
        m_serverIdleLimit = std::chrono::seconds(value);
}

void HttpClientConnection::end(TransferResult result, HttpResponse response)
{
    const IntrusivePtr<HttpClientConnection> self(this);
    const Done done = std::move(m_done);
    close();
    if (done)
        done(result, std::move(response));
}

} // namespace lycheebay
