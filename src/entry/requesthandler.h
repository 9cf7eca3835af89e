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

/// The whole path of a caller's request. Thread-safe.
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

    /// Answers /v1/addresses and /services/...; other paths get 404. Blocks.
    HttpResponse handle(const HttpRequest &request, const ICaller &caller);

    /// From now on no address answer names this instance and no ticket is issued; requests are
    /// still served.
    void beginLeaving();
    /// Tells whether no request runs and no ticket of this instance can start one.
    bool idle() const;

    const EntryCounters &counters() const;
    std::size_t outcomeEntries() const;
    std::size_t outcomeBytes() const;
    std::size_t suspectCount() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheebay
