#pragma once

#include "base/seededrandom.h"
#include "transport/internal/peerlink.h"
#include "transport/peertransport.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <memory>

namespace lycheebay {

class PeerTransport::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &context, PeerTransportSettings settings);

    absl::Status start(IPeerLinkListener *listener);
    void stop();
    /// Stops without waiting for the loop. Precondition: called on the loop's thread.
    void stopOnLoopThread();
    void setDesiredAddresses(std::vector<Address> addresses);
    void send(LinkId link, std::string frame);
    void close(LinkId link, std::string reason);
    Address boundAddress() const { return m_bound; }
    std::size_t queuedBytes() const { return *m_queuedBytes; }

private:
    /// Connection state of a desired address.
    struct DesiredLink
    {
        /// 0 if no link is open.
        LinkId link = 0;
        bool connecting = false;
        int failures = 0;
        TimePoint openedAt;
        TimePoint nextAttempt;
    };

    struct ConnectAttempt
    {
        ConnectAttempt(asio::io_context &context, Address remote)
            : socket(context)
            , timer(context)
            , address(std::move(remote))
        {}

        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
        Address address;
        bool finished = false;
    };

    absl::Status listen();
    void accept();
    void handleAccept(asio::error_code ec, asio::ip::tcp::socket socket);
    void replaceDesired(const std::vector<Address> &addresses);
    void connectDue();
    void armConnectTimer();
    void connect(const Address &address);
    void handleConnect(const std::shared_ptr<ConnectAttempt> &attempt, asio::error_code ec);
    void backOff(DesiredLink &desired);
    LinkId openLink(asio::ip::tcp::socket socket, bool outbound, const Address &remote);
    void closeLink(LinkId link, const std::string &reason);

    struct OpenLink
    {
        std::shared_ptr<PeerLink> link;
        Address remote;
        bool outbound = false;
    };

    asio::io_context &m_context;
    const PeerTransportSettings m_settings;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_connectTimer;
    asio::steady_timer m_acceptTimer;
    SeededRandom m_random;
    IPeerLinkListener *m_listener = nullptr;
    Address m_bound;
    std::map<Address, DesiredLink> m_desired;
    std::map<LinkId, OpenLink> m_links;
    LinkId m_nextLink = 1;
    std::size_t m_connectAttempts = 0;
    std::size_t m_inboundLinks = 0;
    bool m_connectTimerArmed = false;
    bool m_started = false;
    bool m_stopped = false;
    std::shared_ptr<std::atomic<std::size_t>> m_queuedBytes =
            std::make_shared<std::atomic<std::size_t>>(0);
    /// Bytes passed to send() that the I/O thread has not yet queued on a link.
    std::atomic<std::size_t> m_postedBytes = 0;
};

} // namespace lycheebay
