#pragma once

#include "base/iclock.h"
#include "transport/iothread.h"
#include "transport/ipeerlinks.h"

#include <memory>

namespace asio {
class io_context;
}

namespace lycheebay {

struct PeerTransportSettings
{
    /// The listen address; port 0 selects a free port. Outbound links bind to the same host.
    Address bind;
    std::size_t maxFrameBytes = std::size_t{ 1 } << 20;
    /// Send queue limit per link; exceeding it closes the link. Large enough for the largest
    /// snapshot transfer.
    std::size_t maxQueuedBytes = std::size_t{ 8 } << 20;
    /// A link on which sending one frame takes longer than this is closed.
    Duration sendTimeout = std::chrono::seconds(5);
    Duration connectTimeout = std::chrono::seconds(1);
    Duration minBackOff = std::chrono::milliseconds(200);
    Duration maxBackOff = std::chrono::seconds(10);
    std::size_t maxConnecting = 4;
    std::size_t maxInbound = 64;
    /// Seed of the random jitter of the reconnection back-off.
    std::uint64_t seed = 1;
};

/// Peer links over TCP. Each frame is preceded by its length as a 4-byte little-endian integer.
/// The listener is called on the I/O thread.
class PeerTransport final : public IPeerLinks
{
public:
    /// Precondition: \a thread outlives the transport.
    PeerTransport(IoThread &thread, PeerTransportSettings settings);
    /// Uses an event loop that the caller runs. All methods must be called on that loop's thread.
    /// Precondition: \a context outlives the transport.
    PeerTransport(asio::io_context &context, PeerTransportSettings settings);
    ~PeerTransport() override;

    absl::Status start(IPeerLinkListener *listener) override;
    void stop() override;
    void setDesiredAddresses(std::vector<Address> addresses) override;
    void send(LinkId link, std::string frame) override;
    void close(LinkId link, std::string reason) override;

    /// Returns the listen address with the actual port. Precondition: start() succeeded.
    /// Thread-safe.
    Address boundAddress() const;
    /// Returns the total size of the send queues of all links. Thread-safe.
    std::size_t queuedBytes() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
    /// The caller runs the loop, on the thread that calls stop(); waiting for the loop in stop()
    /// would deadlock.
    bool m_usesExternalLoop = false;
};

} // namespace lycheebay
