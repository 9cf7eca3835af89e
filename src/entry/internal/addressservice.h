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

/// Answers GET /v1/addresses. The ticket must name the entry that the caller will use, so the
/// question is passed on once to the dispatcher of the cell. Thread-safe.
class AddressService
{
public:
    AddressService(const EntrySettings &settings, const IClock &clock, const Blackboard &board,
                   const IConfigurationLease &lease, TargetClient &client, EntryCounters &counters);

    HttpResponse answer(const HttpRequest &request);

    /// From now on no answer names this instance and no ticket is issued.
    void beginLeaving() { m_leaving = true; }
    bool isLeaving() const { return m_leaving; }
    /// Tells whether a ticket that was issued here may still be used for a new request.
    bool hasLiveTickets() const;

private:
    struct Question;

    Refusal parse(const HttpRequest &request, Question &question) const;
    std::vector<const Member *> entriesFor(const Question &question) const;
    bool mayName(const Question &question, const Member &member) const;
    /// Null unless an answer may name this instance.
    const Member *namedSelf(const Question &question) const;
    HttpResponse answerHere(const Member *self, std::vector<const Member *> entries);

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
