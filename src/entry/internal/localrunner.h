#pragma once

#include "configuration/iconfigurationlease.h"
#include "entry/celldirectory.h"
#include "entry/entrycounters.h"
#include "entry/internal/delayedworkers.h"
#include "entry/internal/requestcontext.h"
#include "entry/internal/suspectregistry.h"
#include "transport/targetclient.h"

#include <memory>

namespace lycheebay {

struct LocalResult
{
    Outcome outcome;
    /// The cell has no target that takes the request, so another region may.
    bool noTarget = false;
};

/// Runs requests on the targets of this region. Thread-safe.
class LocalRunner
{
public:
    LocalRunner(const EntrySettings &settings, const IClock &clock,
                const IConfigurationLease &lease, TargetClient &client, CellDirectory &cells,
                SuspectRegistry &suspects, EntryCounters &counters);

    /// Blocks until the outcome is known, at most until the request's deadline.
    LocalResult run(RequestContext &context);

private:
    struct Race;
    struct RaceCloser;
    struct Job;

    LocalResult admitAndRun(Job &job);
    LocalResult runAttempts(Job &job, Assignment assignment);
    ExchangeResult attempt(Job &job, const Assignment &assignment, bool mayHedge);
    ExchangeResult attemptWithHedge(Job &job, const Assignment &assignment, Duration delay);
    void runHedge(Job &job, Race &race);
    ExchangeResult send(Job &job, const Assignment &assignment, const Cancellation *cancellation);
    bool mayRetry(Job &job, const ExchangeResult &answer);

    const EntrySettings m_settings;
    const IClock &m_clock;
    const IConfigurationLease &m_lease;
    TargetClient &m_client;
    CellDirectory &m_cells;
    SuspectRegistry &m_suspects;
    EntryCounters &m_counters;
    std::atomic<RequestId> m_lastRequest{ 0 };
    DelayedWorkers m_workers;
};

/// Refusals that more than one part of the request path gives.
Refusal unattestedRefusal();
Refusal shedRefusal(const Shed &shed);

} // namespace lycheebay
