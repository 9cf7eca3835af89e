#pragma once

#include "configuration/iconfigurationlease.h"
#include "entry/entrycounters.h"
#include "entry/internal/bytebudget.h"
#include "entry/internal/requestcontext.h"
#include "transport/targetclient.h"

#include <optional>

namespace lycheebay {

/// Forwards requests to other entries. Thread-safe.
class Forwarder
{
public:
    Forwarder(const EntrySettings &settings, const IClock &clock, const IConfigurationLease &lease,
              TargetClient &client, EntryCounters &counters);

    /// Forwards a request to another entry of the region. Returns null if the request may be
    /// served in another way: it certainly did not reach the entry, or it is idempotent and its
    /// response was lost (context.mayHaveRun is then set).
    std::optional<Outcome> forward(RequestContext &context, const Member &entry);

    /// Forwards a request to the dispatcher of another region that may serve it, within the byte
    /// budget. Also returns null if there is no such region or the budget is used up; otherwise
    /// like forward().
    std::optional<Outcome> spill(RequestContext &context);

private:
    std::optional<Outcome> exchange(RequestContext &context, const Member &entry,
                                    std::size_t &responseBytes);
    const Member *spillEntry(const RequestContext &context) const;

    const EntrySettings m_settings;
    const IClock &m_clock;
    const IConfigurationLease &m_lease;
    TargetClient &m_client;
    EntryCounters &m_counters;
    ByteBudget m_spillBudget;
};

} // namespace lycheebay
