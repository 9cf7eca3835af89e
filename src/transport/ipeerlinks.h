#pragma once

#include "estate/address.h"

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheebay {

/// Identifies one link of this process; never used again.
using LinkId = std::uint64_t;

/// Is told what happens on the links, in order per link and from one thread at a time.
class IPeerLinkListener
{
public:
    virtual ~IPeerLinkListener() = default;

    virtual void linkOpened(LinkId link, bool outbound, const Address &remote) = 0;
    /// Returns an error for a frame that it rejects; the link is closed then, with one log line.
    virtual absl::Status frameReceived(LinkId link, std::string_view frame) = 0;
    /// No further call names this link.
    virtual void linkClosed(LinkId link) = 0;
};

/// Carries frames between entry instances.
class IPeerLinks
{
public:
    virtual ~IPeerLinks() = default;

    /// Begins to accept and to connect. Errors: Unavailable when the address cannot be bound.
    /// Precondition: \a listener outlives stop().
    virtual absl::Status start(IPeerLinkListener *listener) = 0;
    /// Closes all links; the listener is not called after it returns. Precondition: not called by
    /// the listener.
    virtual void stop() = 0;
    /// Replaces the addresses to which links are kept; other outbound links are closed.
    /// Thread-safe.
    virtual void setDesiredAddresses(std::vector<Address> addresses) = 0;
    /// Queues a frame. A link whose queue is full is closed. Thread-safe.
    virtual void send(LinkId link, std::string frame) = 0;
    /// Thread-safe; does nothing for a closed link.
    virtual void close(LinkId link, std::string reason) = 0;
};

} // namespace lycheebay
