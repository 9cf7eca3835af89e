#pragma once

#include "configuration/iconfigurationlease.h"
#include "entry/celldirectory.h"
#include "entry/entrycounters.h"
#include "entry/internal/requestcontext.h"
#include "entry/internal/scheduledthreadpool.h"
#include "entry/internal/suspectregistry.h"
#include "transport/targetclient.h"

#include <memory>

namespace lycheebay {

struct LocalResult
{
    Outcome outcome;
    /// Whether no target in this region accepts the request, so that it may be spilled.
    bool noTarget = false;
};

/// Runs requests on the targets of this region, with retries and hedges. Thread-safe.
class LocalExecutor
{
public:
    LocalExecutor(const EntrySettings &settings, const IClock &clock,
                  const IConfigurationLease &lease, TargetClient &client, CellDirectory &cells,
                  SuspectRegistry &suspects, EntryCounters &counters);

    /// Blocks until the outcome is known, at most until the request's deadline.
    LocalResult run(RequestContext &context);

private:
    struct HedgedAttempt;
    struct HedgedAttemptCloser;
    struct Job;

    LocalResult admitAndRun(Job &job);
    LocalResult runAttempts(Job &job, Assignment assignment);
    ExchangeResult attempt(Job &job, const Assignment &assignment, bool mayHedge);
    ExchangeResult attemptWithHedge(Job &job, const Assignment &assignment, Duration delay);
    void runHedge(Job &job, HedgedAttempt &hedged);
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
    ScheduledThreadPool m_workers;
};

// Refusals used in several parts of the request path.
Refusal unattestedRefusal();
Refusal shedRefusal(const Shed &shed);

} // namespace lycheebay
