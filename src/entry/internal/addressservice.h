#pragma once

#include "configuration/iconfigurationlease.h"
#include "entry/blackboard.h"
#include "entry/entrycounters.h"
#include "entry/entrysettings.h"
#include "outcomes/ticket.h"
#include "transport/httpserver.h"
#include "transport/targetclient.h"

#include <atomic>
#include <vector>

namespace lycheebay {

/// Serves GET /v1/addresses. The ticket must name the entry that the caller will use, so the
/// request is forwarded once to the dispatcher of the cell. Thread-safe.
class AddressService
{
public:
    AddressService(const EntrySettings &settings, const IClock &clock, const Blackboard &board,
                   const IConfigurationLease &lease, TargetClient &client, EntryCounters &counters);

    HttpResponse answer(const HttpRequest &request);

    /// Removes this instance from answers and stops issuing tickets.
    void beginLeaving() { m_leaving = true; }
    bool isLeaving() const { return m_leaving; }
    /// Returns whether a ticket issued by this instance may still start a new request.
    bool hasLiveTickets() const;

private:
    struct AddressQuery;

    Refusal parse(const HttpRequest &request, AddressQuery &query) const;
    std::vector<const Member *> candidateEntries(const AddressQuery &query) const;
    bool mayAdvertise(const AddressQuery &query, const Member &member) const;
    /// Returns this instance's member, or null if answers must not include it.
    const Member *advertisableSelf(const AddressQuery &query) const;
    HttpResponse buildAnswer(const Member *self, std::vector<const Member *> entries);

    const EntrySettings m_settings;
    const IClock &m_clock;
    const Blackboard &m_board;
    const IConfigurationLease &m_lease;
    TargetClient &m_client;
    EntryCounters &m_counters;
    TicketIssuer m_tickets;
    std::atomic<bool> m_leaving{ false };
    std::atomic<Duration::rep> m_lastIssue{ 0 };
};

} // namespace lycheebay
