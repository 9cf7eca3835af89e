#include "entry/internal/localexecutor.h"

#include "base/invariant.h"
#include "base/log.h"
#include "transport/loadheader.h"
#include "transport/problem.h"

#include <algorithm>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

/// Limits the attempts at one request regardless of the retry budget.
constexpr int kMaxAttempts = 4;
constexpr std::chrono::seconds kSuspectRetryAfter{ 1 };

HttpRequest messageFor(const RequestContext &context, TimePoint now)
{
    HttpRequest message{ context.request.method, context.targetPath, context.request.headers,
                         context.request.body };
    const auto left = std::chrono::ceil<milliseconds>(context.deadline - now).count();
    setHeader(message.headers, kDeadlineHeader, std::to_string(std::max<std::int64_t>(left, 1)));
    return message;
}

bool isComplete(const ExchangeResult &answer)
{
    const AttemptOutcome outcome = answer.result.outcome;
    return outcome == AttemptOutcome::Succeeded || outcome == AttemptOutcome::Failed;
}

bool isCertainlyNotRun(const ExchangeResult &answer)
{
    return !answer.sent || answer.result.outcome == AttemptOutcome::Shed;
}

/// Removes headers that only entries set: from a target, callers would take them for a statement of
/// this instance.
std::shared_ptr<const HttpResponse>
withoutEntryHeaders(const std::shared_ptr<const HttpResponse> &response)
{
    if (!findHeader(response->headers, kOutcomeHeader)
        && !findHeader(response->headers, kNotRunHeader)) {
        return response;
    }
    auto copy = std::make_shared<HttpResponse>(*response);
    removeHeader(copy->headers, kOutcomeHeader);
    removeHeader(copy->headers, kNotRunHeader);
    return copy;
}

Outcome outcomeOf(const ExchangeResult &answer)
{
    if (isComplete(answer))
        return Done{ withoutEntryHeaders(answer.response) };
    if (isCertainlyNotRun(answer))
        return NotRun{ { 503, "no target took the request", milliseconds(100) } };
    if (answer.result.outcome == AttemptOutcome::ConnectionLost)
        return Unknown{ { 502, "the target's response was lost", {} } };
    return Unknown{ { 504, "no response by the deadline", {} } };
}

/// Merges the outcome of the latest attempt: "not run" or "unknown" does not replace an attempt
/// that may have run.
void mergeOutcome(std::optional<Outcome> &outcome, Outcome next)
{
    const bool keeps = outcome && !std::holds_alternative<NotRun>(*outcome)
                       && !std::holds_alternative<Done>(next);
    if (!keeps)
        outcome = std::move(next);
}

} // namespace

Refusal unattestedRefusal()
{
    return { 503, "this instance's configuration is not attested", milliseconds(500) };
}

Refusal shedRefusal(const Shed &shed)
{
    switch (shed.reason) {
    case ShedReason::Overloaded:
        return { 503, "overloaded", shed.retryAfter };
    case ShedReason::DeadlineExceeded:
        return { 503, "no target was free by the deadline", shed.retryAfter };
    case ShedReason::NoTarget:
        return { 503, "no target accepts work", shed.retryAfter };
    case ShedReason::RetryBudget:
        return { 503, "no target took the request, and retries are used up", shed.retryAfter };
    case ShedReason::Closed:
        break;
    }
    return { 503, "the instance stops or the caller left", shed.retryAfter };
}

/// A request in progress. Used by the request's thread, and by its hedge while that thread keeps
/// the HedgedAttempt open.
struct LocalExecutor::Job
{
    RequestContext &context;
    std::shared_ptr<Cell> cell;
    const RequestId request;
    SuspectRegistry &suspects;
    bool submitted = false;
    /// Whether an attempt at a non-idempotent request is in flight or may have run.
    std::atomic<bool> mayRun{ false };
    /// Whether this is the only admitted run of a crash suspect.
    bool isExclusive = false;

    Job(RequestContext &requestContext, std::shared_ptr<Cell> owningCell, RequestId id,
        SuspectRegistry &suspectRegistry)
        : context(requestContext)
        , cell(std::move(owningCell))
        , request(id)
        , suspects(suspectRegistry)
    {}
    Job(const Job &) = delete;
    Job &operator=(const Job &) = delete;
    ~Job()
    {
        if (submitted)
            cell->finish(request);
        if (isExclusive)
            suspects.release(context.fingerprint);
    }

    IsAbandoned isAbandoned() const
    {
        return [caller = context.caller] { return caller->isGone(); };
    }
};

/// State shared by a primary attempt and its hedge. The first complete response wins.
struct LocalExecutor::HedgedAttempt
{
    std::mutex mutex;
    std::condition_variable ended;
    Cancellation primary;
    Cancellation hedge;
    /// Set when the hedge must no longer start.
    bool closed = false;
    bool running = false;
    std::optional<ExchangeResult> hedgeAnswer;

    /// Waits for a running hedge and prevents a later start.
    void close()
    {
        std::unique_lock lock(mutex);
        closed = true;
        ended.wait(lock, [this] { return !running; });
    }
};

/// Closes a hedged attempt on scope exit, also by an exception, so that no hedge uses a request
/// that has ended.
struct LocalExecutor::HedgedAttemptCloser
{
    explicit HedgedAttemptCloser(HedgedAttempt &openAttempt)
        : hedged(openAttempt)
    {}
    HedgedAttemptCloser(const HedgedAttemptCloser &) = delete;
    HedgedAttemptCloser &operator=(const HedgedAttemptCloser &) = delete;
    ~HedgedAttemptCloser()
    {
        hedged.hedge.cancel();
        hedged.close();
    }

    HedgedAttempt &hedged;
};

LocalExecutor::LocalExecutor(const EntrySettings &settings, const IClock &clock,
                             const IConfigurationLease &lease, TargetClient &client,
                             CellDirectory &cells, SuspectRegistry &suspects,
                             EntryCounters &counters)
    : m_settings(settings)
    , m_clock(clock)
    , m_lease(lease)
    , m_client(client)
    , m_cells(cells)
    , m_suspects(suspects)
    , m_counters(counters)
    , m_workers(settings.workers)
{}

LocalResult LocalExecutor::run(RequestContext &context)
{
    Job job(context, m_cells.find(context.service), ++m_lastRequest, m_suspects);
    if (!job.cell)
        return { NotRun{ { 503, "no target in this region", milliseconds(500) } }, true };
    return admitAndRun(job);
}

LocalResult LocalExecutor::admitAndRun(Job &job)
{
    const Fingerprint fingerprint = job.context.fingerprint;
    const Admission admission = m_suspects.admit(fingerprint);
    job.isExclusive = admission == Admission::Exclusive;
    const bool isOwner = job.cell->role() == DispatchRole::Owner;
    if (admission == Admission::Unrestricted || (job.isExclusive && isOwner)) {
        job.submitted = true;
        const DispatchResult result =
                job.cell->submit(job.request, job.context.traits(), job.isAbandoned());
        if (const auto *shed = std::get_if<Shed>(&result))
            return { NotRun{ shedRefusal(*shed) }, shed->reason == ShedReason::NoTarget };
        return runAttempts(job, std::get<Assignment>(result));
    }
    ++m_counters.suspectsRefused;
    const Duration wait =
            std::max<Duration>(m_suspects.refusedFor(fingerprint), kSuspectRetryAfter);
    return { NotRun{ { 503, "this request is suspected of crashing targets", wait } }, false };
}

LocalResult LocalExecutor::runAttempts(Job &job, Assignment assignment)
{
    std::optional<Outcome> outcome;
    for (int n = 1;; ++n) {
        const ExchangeResult answer = attempt(job, assignment, n == 1);
        mergeOutcome(outcome, outcomeOf(answer));
        if (n == kMaxAttempts || !mayRetry(job, answer))
            break;
        const DispatchResult result =
                job.cell->retry(job.request, job.context.traits(), job.isAbandoned());
        if (std::holds_alternative<Shed>(result))
            break;
        ++m_counters.retries;
        assignment = std::get<Assignment>(result);
    }
    if (std::holds_alternative<NotRun>(*outcome) && !m_lease.isValid(m_clock.now()))
        outcome = NotRun{ unattestedRefusal() };
    return { *outcome, false };
}

bool LocalExecutor::mayRetry(Job &job, const ExchangeResult &answer)
{
    const RequestContext &context = job.context;
    const AttemptOutcome outcome = answer.result.outcome;
    const bool retryable = isCertainlyNotRun(answer)
                           || (context.route.idempotent
                               && (outcome == AttemptOutcome::ConnectionLost
                                   || outcome == AttemptOutcome::Failed));
    const TimePoint now = m_clock.now();
    if (!retryable || now >= context.deadline || !m_lease.isValid(now) || context.caller->isGone())
        return false;
    if (outcome != AttemptOutcome::ConnectionLost)
        return true;
    // The lost connection may have made the request a crash suspect, which must not run twice at
    // the same time.
    if (job.isExclusive)
        m_suspects.release(context.fingerprint);
    const Admission admission = m_suspects.admit(context.fingerprint);
    job.isExclusive = admission == Admission::Exclusive;
    const bool isOwner = job.cell->role() == DispatchRole::Owner;
    return admission == Admission::Unrestricted || (job.isExclusive && isOwner);
}

ExchangeResult LocalExecutor::attempt(Job &job, const Assignment &assignment, bool mayHedge)
{
    const TimePoint began = m_clock.now();
    ExchangeResult answer;
    const Duration delay = mayHedge && job.context.route.idempotent && !job.isExclusive
                                   ? job.cell->hedgeDelay()
                                   : Duration::zero();
    if (delay > Duration::zero() && began + delay < job.context.deadline)
        answer = attemptWithHedge(job, assignment, delay);
    else
        answer = send(job, assignment, nullptr);
    job.context.upstreamTime += m_clock.now() - began;
    return answer;
}

ExchangeResult LocalExecutor::attemptWithHedge(Job &job, const Assignment &assignment,
                                               Duration delay)
{
    const auto hedged = std::make_shared<HedgedAttempt>();
    // The task may run after this call has returned, but then finds the attempt closed and accesses
    // neither the job nor this object.
    const HedgedAttemptCloser closer(*hedged);
    m_workers.schedule(m_clock.now() + delay, [this, hedged, &job] {
        {
            const std::lock_guard lock(hedged->mutex);
            if (hedged->closed)
                return;
            hedged->running = true;
        }
        runHedge(job, *hedged);
    });
    ExchangeResult answer = send(job, assignment, &hedged->primary);
    if (isComplete(answer))
        hedged->hedge.cancel();
    hedged->close();
    if (isComplete(answer) || !hedged->hedgeAnswer)
        return answer;
    if (isComplete(*hedged->hedgeAnswer)) {
        ++m_counters.hedgesWon;
        return *hedged->hedgeAnswer;
    }
    // The hedge may have run even if the primary attempt certainly did not.
    return isCertainlyNotRun(answer) ? *hedged->hedgeAnswer : answer;
}

void LocalExecutor::runHedge(Job &job, HedgedAttempt &hedged)
{
    std::optional<ExchangeResult> answer;
    try {
        if (const auto assignment = job.cell->hedge(job.request)) {
            ++m_counters.hedges;
            answer = send(job, *assignment, &hedged.hedge);
            if (isComplete(*answer))
                hedged.primary.cancel();
        }
    } catch (const std::exception &e) {
        LOG4CPLUS_ERROR(componentLogger("entry"), "hedged attempt failed: " << e.what());
    }
    const std::lock_guard lock(hedged.mutex);
    hedged.hedgeAnswer = std::move(answer);
    hedged.running = false;
    hedged.ended.notify_all();
}

ExchangeResult LocalExecutor::send(Job &job, const Assignment &assignment,
                                   const Cancellation *cancellation)
{
    ++m_counters.attempts;
    const RequestContext &context = job.context;
    const TimePoint began = m_clock.now();
    if (!context.route.idempotent && job.mayRun.exchange(true)) {
        LYCHEEBAY_INVARIANT(false, "a request that may have run is not sent again");
        const AttemptResult unsent{ AttemptOutcome::Cancelled, {}, {} };
        job.cell->complete(assignment.attempt, unsent);
        return { unsent, nullptr, false, false };
    }
    ExchangeResult answer =
            m_client.exchange(assignment.address, messageFor(context, began), context.deadline,
                              cancellation, [this](TimePoint now) { return m_lease.isValid(now); });
    job.cell->complete(assignment.attempt, answer.result);
    job.mayRun = !isCertainlyNotRun(answer);
    if (answer.response && isComplete(answer))
        m_suspects.succeed(context.fingerprint);
    else if (answer.result.outcome == AttemptOutcome::ConnectionLost && !answer.responseBegan)
        m_suspects.strike(context.fingerprint, context.homeRegions, began);
    return answer;
}

} // namespace lycheebay
