#pragma once

#include "configuration/iconfigurationlease.h"
#include "entry/entrycounters.h"
#include "entry/internal/bytebudget.h"
#include "entry/internal/requestcontext.h"
#include "transport/targetclient.h"

#include <optional>

namespace lycheebay {

/// Sends requests on to other entries. Thread-safe.
class Forwarder
{
public:
    Forwarder(const EntrySettings &settings, const IClock &clock, const IConfigurationLease &lease,
              TargetClient &client, EntryCounters &counters);

    /// Sends a request to another entry of the region. Null when the request certainly did not
    /// reach it, or is idempotent and may run again (the context then says that it may have run):
    /// then it may be served in another way.
    std::optional<Outcome> forward(RequestContext &context, const Member &entry);

    /// Sends a request to the dispatcher of another region that may serve it, within the byte
    /// budget. Null as with forward().
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
