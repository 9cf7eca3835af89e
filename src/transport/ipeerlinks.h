#pragma once

#include "estate/address.h"

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheebay {

/// Identifies a link within this process. Ids are not reused; 0 stands for no link.
using LinkId = std::uint64_t;

/// Receives link events. Events of one link arrive in order, and calls never overlap.
class IPeerLinkListener
{
public:
    virtual ~IPeerLinkListener() = default;

    virtual void linkOpened(LinkId link, bool outbound, const Address &remote) = 0;
    /// Handles a frame. If it returns an error, the link is closed and the error is logged.
    virtual absl::Status frameReceived(LinkId link, std::string_view frame) = 0;
    /// The link was closed; no further event of it follows.
    virtual void linkClosed(LinkId link) = 0;
};

/// Carries frames between entry instances.
class IPeerLinks
{
public:
    virtual ~IPeerLinks() = default;

    /// Starts to accept and to open links. Errors: Unavailable when the address cannot be bound.
    /// Precondition: \a listener outlives stop().
    virtual absl::Status start(IPeerLinkListener *listener) = 0;
    /// Closes all links; the listener is not called after it returns. Precondition: not called by
    /// the listener.
    virtual void stop() = 0;
    /// Sets the addresses to which outbound links are kept open, with reconnection after a failure.
    /// Outbound links to other addresses are closed. Thread-safe.
    virtual void setDesiredAddresses(std::vector<Address> addresses) = 0;
    /// Queues a frame for sending. A link whose send queue is full is closed. Thread-safe.
    virtual void send(LinkId link, std::string frame) = 0;
    /// Closes a link and logs \a reason. Does nothing if the link is closed already. Thread-safe.
    virtual void close(LinkId link, std::string reason) = 0;
};

} // namespace lycheebay
