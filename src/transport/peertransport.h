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
    /// Where peers connect; port 0 chooses a free one. Outbound links leave from the same host.
    Address bind;
    std::size_t maxFrameBytes = std::size_t{ 1 } << 20;
    /// Holds the largest snapshot transfer; a peer that does not read so much loses its link.
    std::size_t maxQueuedBytes = std::size_t{ 8 } << 20;
    /// A link on which a queued frame makes no progress for this long is closed.
    Duration sendTimeout = std::chrono::seconds(5);
    Duration connectTimeout = std::chrono::seconds(1);
    Duration minBackOff = std::chrono::milliseconds(200);
    Duration maxBackOff = std::chrono::seconds(10);
    std::size_t maxConnecting = 4;
    std::size_t maxInbound = 64;
    /// Seeds the jitter of the back-off.
    std::uint64_t seed = 1;
};

/// Peer links over TCP: a 4-byte little-endian length, then the frame. The listener is called on
/// the I/O thread.
class PeerTransport final : public IPeerLinks
{
public:
    /// Precondition: \a thread outlives the transport.
    PeerTransport(IoThread &thread, PeerTransportSettings settings);
    /// Runs on the event loop of its owner, on whose thread all methods must be called.
    /// Precondition: \a context outlives the transport.
    PeerTransport(asio::io_context &context, PeerTransportSettings settings);
    ~PeerTransport() override;

    absl::Status start(IPeerLinkListener *listener) override;
    void stop() override;
    void setDesiredAddresses(std::vector<Address> addresses) override;
    void send(LinkId link, std::string frame) override;
    void close(LinkId link, std::string reason) override;

    /// Where peers connect. Precondition: start() succeeded. Thread-safe.
    Address boundAddress() const;
    /// Bytes queued on all links. Thread-safe.
    std::size_t queuedBytes() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
    /// The loop is run by the caller, so that stopping must not wait for it.
    bool m_onOwnersLoop = false;
};

} // namespace lycheebay
