#pragma once

#include "configuration/iconfigurationlease.h"
#include "entry/blackboard.h"
#include "entry/celldirectory.h"
#include "entry/entrycounters.h"
#include "entry/entrysettings.h"
#include "entry/ipeersharing.h"
#include "transport/httpserver.h"
#include "transport/targetclient.h"

#include <memory>

namespace lycheebay {

/// Handles callers' requests from admission to response. Thread-safe.
class RequestHandler
{
public:
    /// All arguments but \a settings must outlive the handler.
    RequestHandler(const EntrySettings &settings, const IClock &clock, const Blackboard &board,
                   const IConfigurationLease &lease, TargetClient &client, CellDirectory &cells,
                   IPeerSharing &sharing);
    ~RequestHandler();
    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;

    /// Serves /v1/addresses and /services/...; other paths get 404. Blocks until the response is
    /// ready.
    HttpResponse handle(const HttpRequest &request, const ICaller &caller);

    /// Removes this instance from address answers and stops issuing tickets. Requests are still
    /// served.
    void beginLeaving();
    /// Returns whether no request is running and none can be started with a ticket of this
    /// instance.
    bool isIdle() const;

    const EntryCounters &counters() const;
    std::size_t outcomeEntries() const;
    std::size_t outcomeBytes() const;
    std::size_t suspectCount() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheebay
