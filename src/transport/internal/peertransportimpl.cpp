#include "transport/internal/peertransportimpl.h"

#include "base/log.h"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <future>

namespace lycheebay {

namespace {

using Tcp = asio::ip::tcp;

constexpr Duration kConnectPollPeriod = std::chrono::milliseconds(50);
// Delay after a failed accept, for example when no file descriptor is free.
constexpr Duration kAcceptPause = std::chrono::milliseconds(200);
// A link that stayed open this long shows that the peer works, so the back-off starts anew after
// it closes.
constexpr Duration kStableLinkLifetime = std::chrono::seconds(5);
constexpr std::size_t kMaxPostedBytes = std::size_t{ 32 } << 20;

TimePoint steadyNow()
{
    return std::chrono::steady_clock::now();
}

log4cplus::Logger &logger()
{
    static log4cplus::Logger instance = componentLogger("peer");
    return instance;
}

} // namespace

PeerTransport::Impl::Impl(asio::io_context &context, PeerTransportSettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_acceptor(context)
    , m_connectTimer(context)
    , m_acceptTimer(context)
    , m_random(m_settings.seed)
{}

absl::Status PeerTransport::Impl::start(IPeerLinkListener *listener)
{
    m_listener = listener;
    if (absl::Status status = listen(); !status.ok())
        return status;
    m_started = true;
    asio::post(m_context, [self = shared_from_this()] { self->accept(); });
    return absl::OkStatus();
}

absl::Status PeerTransport::Impl::listen()
{
    asio::error_code ec;
    const auto host = asio::ip::make_address(m_settings.bind.host, ec);
    const Tcp::endpoint endpoint(host, m_settings.bind.port);
    if (!ec)
        m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec) {
        return absl::UnavailableError(fmt::format("cannot listen for peers on {}: {}",
                                                  m_settings.bind.toString(), ec.message()));
    }
    m_bound = { m_settings.bind.host, m_acceptor.local_endpoint(ec).port() };
    return absl::OkStatus();
}

void PeerTransport::Impl::stop()
{
    if (!m_started)
        return;
    std::promise<void> done;
    asio::post(m_context, [this, &done] {
        stopOnLoopThread();
        done.set_value();
    });
    done.get_future().wait();
}

void PeerTransport::Impl::stopOnLoopThread()
{
    if (m_stopped)
        return;
    m_stopped = true;
    asio::error_code ec;
    m_acceptor.close(ec);
    m_connectTimer.cancel();
    m_acceptTimer.cancel();
    for (auto &[id, open] : m_links)
        open.link->close();
    m_links.clear();
    m_desired.clear();
}

void PeerTransport::Impl::accept()
{
    if (m_stopped)
        return;
    m_acceptor.async_accept([self = shared_from_this()](asio::error_code ec, Tcp::socket socket) {
        self->handleAccept(ec, std::move(socket));
    });
}

void PeerTransport::Impl::handleAccept(asio::error_code ec, Tcp::socket socket)
{
    if (m_stopped)
        return;
    if (ec) {
        m_acceptTimer.expires_after(kAcceptPause);
        m_acceptTimer.async_wait([self = shared_from_this()](asio::error_code) { self->accept(); });
        return;
    }
    asio::error_code endpointError;
    const Tcp::endpoint remote = socket.remote_endpoint(endpointError);
    if (!endpointError && m_inboundLinks < m_settings.maxInbound) {
        openLink(std::move(socket), false, { remote.address().to_string(), remote.port() });
    } else if (!endpointError) {
        LOG4CPLUS_WARN_FMT(logger(), "refused an inbound link: %zu are open already",
                           m_inboundLinks);
    }
    accept();
}

void PeerTransport::Impl::setDesiredAddresses(std::vector<Address> addresses)
{
    asio::post(m_context, [self = shared_from_this(), addresses = std::move(addresses)] {
        if (!self->m_stopped)
            self->replaceDesired(addresses);
    });
}

void PeerTransport::Impl::replaceDesired(const std::vector<Address> &addresses)
{
    std::map<Address, DesiredLink> desired;
    for (const Address &address : addresses) {
        const auto it = m_desired.find(address);
        desired[address] = it == m_desired.end() ? DesiredLink() : it->second;
    }
    std::swap(m_desired, desired);
    for (const auto &[address, old] : desired) {
        if (old.link != 0 && !m_desired.contains(address))
            closeLink(old.link, "no longer a neighbour");
    }
    connectDue();
}

void PeerTransport::Impl::connectDue()
{
    const TimePoint now = steadyNow();
    bool waiting = false;
    for (auto &[address, desired] : m_desired) {
        if (desired.link != 0 || desired.connecting)
            continue;
        waiting = true;
        if (desired.nextAttempt > now || m_connectAttempts >= m_settings.maxConnecting)
            continue;
        desired.connecting = true;
        connect(address);
    }
    if (waiting)
        armConnectTimer();
}

void PeerTransport::Impl::armConnectTimer()
{
    if (m_connectTimerArmed)
        return;
    m_connectTimerArmed = true;
    m_connectTimer.expires_after(kConnectPollPeriod);
    m_connectTimer.async_wait([self = shared_from_this()](asio::error_code ec) {
        self->m_connectTimerArmed = false;
        if (!ec && !self->m_stopped)
            self->connectDue();
    });
}

void PeerTransport::Impl::connect(const Address &address)
{
    const auto attempt = std::make_shared<ConnectAttempt>(m_context, address);
    ++m_connectAttempts;
    asio::error_code ec;
    const auto host = asio::ip::make_address(address.host, ec);
    const auto local = asio::ip::make_address(m_settings.bind.host, ec);
    if (!ec)
        attempt->socket.open(host.is_v4() ? Tcp::v4() : Tcp::v6(), ec);
    if (!ec && !local.is_unspecified())
        attempt->socket.bind(Tcp::endpoint(local, 0), ec);
    if (ec) {
        asio::post(m_context,
                   [self = shared_from_this(), attempt, ec] { self->handleConnect(attempt, ec); });
        return;
    }
    attempt->timer.expires_after(m_settings.connectTimeout);
    attempt->timer.async_wait([attempt](asio::error_code timerError) {
        asio::error_code ignored;
        if (!timerError && !attempt->finished)
            attempt->socket.close(ignored);
    });
    attempt->socket.async_connect(Tcp::endpoint(host, address.port),
                                  [self = shared_from_this(), attempt](asio::error_code result) {
                                      self->handleConnect(attempt, result);
                                  });
}

void PeerTransport::Impl::handleConnect(const std::shared_ptr<ConnectAttempt> &attempt,
                                        asio::error_code ec)
{
    --m_connectAttempts;
    attempt->finished = true;
    attempt->timer.cancel();
    if (m_stopped)
        return;
    const auto it = m_desired.find(attempt->address);
    if (it == m_desired.end() || it->second.link != 0)
        return;
    DesiredLink &desired = it->second;
    desired.connecting = false;
    if (ec || !attempt->socket.is_open()) {
        LOG4CPLUS_DEBUG_FMT(logger(), "cannot connect to %s: %s",
                            attempt->address.toString().c_str(), ec.message().c_str());
        backOff(desired);
    } else {
        desired.openedAt = steadyNow();
        desired.link = m_nextLink;
        openLink(std::move(attempt->socket), true, attempt->address);
    }
    connectDue();
}

void PeerTransport::Impl::backOff(DesiredLink &desired)
{
    constexpr int kMaxDoublings = 10;
    const Duration full =
            std::min(m_settings.maxBackOff,
                     m_settings.minBackOff * (1 << std::min(desired.failures, kMaxDoublings)));
    ++desired.failures;
    // Waits between half and all of the delay, so that peers do not reconnect simultaneously.
    const auto jitter = std::chrono::duration_cast<Duration>(full * (0.5 * m_random.uniform()));
    desired.nextAttempt = steadyNow() + full / 2 + jitter;
}

LinkId PeerTransport::Impl::openLink(Tcp::socket socket, bool outbound, const Address &remote)
{
    const LinkId id = m_nextLink++;
    PeerLink::Owner owner;
    owner.frameReceived = [this](LinkId link, std::string_view frame) {
        return m_listener->frameReceived(link, frame);
    };
    owner.failed = [this](LinkId link, const std::string &reason) { closeLink(link, reason); };
    owner.queuedBytes = m_queuedBytes;
    const auto link = std::make_shared<PeerLink>(id, std::move(socket), m_settings, owner);
    m_links[id] = { link, remote, outbound };
    m_inboundLinks += outbound ? 0 : 1;
    link->start();
    m_listener->linkOpened(id, outbound, remote);
    return id;
}

void PeerTransport::Impl::closeLink(LinkId link, const std::string &reason)
{
    const auto it = m_links.find(link);
    if (it == m_links.end())
        return;
    const OpenLink open = it->second;
    m_links.erase(it);
    open.link->close();
    m_inboundLinks -= open.outbound ? 0 : 1;
    LOG4CPLUS_INFO_FMT(logger(), "closed the link %s %s: %s", open.outbound ? "to" : "from",
                       open.remote.toString().c_str(), reason.c_str());
    const auto desired = m_desired.find(open.remote);
    if (open.outbound && desired != m_desired.end() && desired->second.link == link) {
        desired->second.link = 0;
        if (steadyNow() - desired->second.openedAt >= kStableLinkLifetime)
            desired->second.failures = 0;
        backOff(desired->second);
        armConnectTimer();
    }
    m_listener->linkClosed(link);
}

void PeerTransport::Impl::send(LinkId link, std::string frame)
{
    const std::size_t size = frame.size();
    // Bounds the memory of frames that wait for the I/O thread, which may be blocked.
    if (m_postedBytes.fetch_add(size) + size > kMaxPostedBytes) {
        m_postedBytes -= size;
        close(link, "too many bytes are waiting for the I/O thread");
        return;
    }
    asio::post(m_context, [self = shared_from_this(), link, size, frame = std::move(frame)] {
        self->m_postedBytes -= size;
        const auto it = self->m_links.find(link);
        if (it != self->m_links.end()) {
            const std::shared_ptr<PeerLink> peerLink = it->second.link;
            peerLink->send(frame);
        }
    });
}

void PeerTransport::Impl::close(LinkId link, std::string reason)
{
    asio::post(m_context, [self = shared_from_this(), link, reason = std::move(reason)] {
        if (!self->m_stopped)
            self->closeLink(link, reason);
    });
}

} // namespace lycheebay
