#pragma once

#include "transport/ipeerlinks.h"
#include "transport/peertransport.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>

namespace lycheebay {

/// A connected socket that carries length-prefixed frames. Used on the I/O thread only.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    /// Callbacks to and counters of the transport that owns the link.
    struct Owner
    {
        std::function<absl::Status(LinkId, std::string_view)> frameReceived;
        std::function<void(LinkId, const std::string &reason)> failed;
        /// Total over all links. Shared, because a cancelled write may outlive the transport.
        std::shared_ptr<std::atomic<std::size_t>> queuedBytes;
    };

    PeerLink(LinkId id, asio::ip::tcp::socket socket, const PeerTransportSettings &settings,
             Owner owner);
    ~PeerLink();

    LinkId id() const { return m_id; }
    void start();
    void send(const std::string &frame);
    /// Closes the socket. No owner callback is called afterwards.
    void close();

private:
    void readLength();
    void readFrame(std::size_t size);
    void handleFrame();
    void writeNext();
    void handleWrite(asio::error_code ec);
    void startSendTimer();
    void fail(const std::string &reason);
    void dropQueue();

    const LinkId m_id;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_sendTimer;
    const PeerTransportSettings &m_settings;
    Owner m_owner;
    std::array<unsigned char, 4> m_lengthBytes{};
    std::string m_frame;
    std::deque<std::string> m_queue;
    std::size_t m_queuedBytes = 0;
    bool m_writing = false;
    bool m_closed = false;
};

} // namespace lycheebay
