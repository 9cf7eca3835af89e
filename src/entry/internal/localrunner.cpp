#include "entry/internal/localrunner.h"

#include "base/invariant.h"
#include "base/log.h"
#include "transport/loadheader.h"
#include "transport/problem.h"

#include <algorithm>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

/// Bounds the attempts at one request whatever the retry budget allows.
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

bool isWhole(const ExchangeResult &answer)
{
    const AttemptOutcome outcome = answer.result.outcome;
    return outcome == AttemptOutcome::Succeeded || outcome == AttemptOutcome::Failed;
}

bool certainlyNotRun(const ExchangeResult &answer)
{
    return !answer.sent || answer.result.outcome == AttemptOutcome::Shed;
}

/// The entries' own headers would pass for a statement of this instance.
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

Outcome judge(const ExchangeResult &answer)
{
    if (isWhole(answer))
        return Done{ withoutEntryHeaders(answer.response) };
    if (certainlyNotRun(answer))
        return NotRun{ { 503, "no target took the request", milliseconds(100) } };
    if (answer.result.outcome == AttemptOutcome::ConnectionLost)
        return Unknown{ { 502, "the target's response was lost", {} } };
    return Unknown{ { 504, "no response by the deadline", {} } };
}

/// An attempt that may have run outweighs later ones that did not.
void merge(std::optional<Outcome> &outcome, Outcome next)
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

/// One request in progress. Used by its thread; a hedge uses it while that thread waits for it.
struct LocalRunner::Job
{
    RequestContext &context;
    std::shared_ptr<Cell> cell;
    const RequestId request;
    SuspectRegistry &suspects;
    bool submitted = false;
    /// Whether an attempt at a request that is not idempotent is out, or may have run.
    std::atomic<bool> mayRun{ false };
    /// Admitted as the only run of a suspect.
    bool alone = false;

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
        if (alone)
            suspects.release(context.fingerprint);
    }

    IsAbandoned isAbandoned() const
    {
        return [caller = context.caller] { return caller->isGone(); };
    }
};

/// Two attempts at one request, of which the first whole answer counts.
struct LocalRunner::Race
{
    std::mutex mutex;
    std::condition_variable ended;
    Cancellation primary;
    Cancellation hedge;
    /// The hedge may no longer begin.
    bool closed = false;
    bool running = false;
    std::optional<ExchangeResult> hedgeAnswer;

    /// Waits for a hedge that runs; none begins afterwards.
    void close()
    {
        std::unique_lock lock(mutex);
        closed = true;
        ended.wait(lock, [this] { return !running; });
    }
};

/// Closes a race on every way out, so that no hedge uses a request that has ended.
struct LocalRunner::RaceCloser
{
    explicit RaceCloser(Race &openRace)
        : race(openRace)
    {}
    RaceCloser(const RaceCloser &) = delete;
    RaceCloser &operator=(const RaceCloser &) = delete;
    ~RaceCloser()
    {
        race.hedge.cancel();
        race.close();
    }

    Race &race;
};

LocalRunner::LocalRunner(const EntrySettings &settings, const IClock &clock,
                         const IConfigurationLease &lease, TargetClient &client,
                         CellDirectory &cells, SuspectRegistry &suspects, EntryCounters &counters)
    : m_settings(settings)
    , m_clock(clock)
    , m_lease(lease)
    , m_client(client)
    , m_cells(cells)
    , m_suspects(suspects)
    , m_counters(counters)
    , m_workers(settings.workers)
{}

LocalResult LocalRunner::run(RequestContext &context)
{
    Job job(context, m_cells.find(context.service), ++m_lastRequest, m_suspects);
    if (!job.cell)
        return { NotRun{ { 503, "no target in this region", milliseconds(500) } }, true };
    return admitAndRun(job);
}

LocalResult LocalRunner::admitAndRun(Job &job)
{
    const Fingerprint fingerprint = job.context.fingerprint;
    const Admission admission = m_suspects.admit(fingerprint);
    job.alone = admission == Admission::Exclusive;
    const bool isOwner = job.cell->role() == DispatchRole::Owner;
    if (admission == Admission::Unrestricted || (job.alone && isOwner)) {
        job.submitted = true;
        const Grant grant = job.cell->submit(job.request, job.context.traits(), job.isAbandoned());
        if (const auto *shed = std::get_if<Shed>(&grant))
            return { NotRun{ shedRefusal(*shed) }, shed->reason == ShedReason::NoTarget };
        return runAttempts(job, std::get<Assignment>(grant));
    }
    ++m_counters.suspectsRefused;
    const Duration wait =
            std::max<Duration>(m_suspects.refusedFor(fingerprint), kSuspectRetryAfter);
    return { NotRun{ { 503, "this request is suspected of crashing targets", wait } }, false };
}

LocalResult LocalRunner::runAttempts(Job &job, Assignment assignment)
{
    std::optional<Outcome> outcome;
    for (int n = 1;; ++n) {
        const ExchangeResult answer = attempt(job, assignment, n == 1);
        merge(outcome, judge(answer));
        if (n == kMaxAttempts || !mayRetry(job, answer))
            break;
        const Grant grant = job.cell->retry(job.request, job.context.traits(), job.isAbandoned());
        if (std::holds_alternative<Shed>(grant))
            break;
        ++m_counters.retries;
        assignment = std::get<Assignment>(grant);
    }
    if (std::holds_alternative<NotRun>(*outcome) && !m_lease.isValid(m_clock.now()))
        outcome = NotRun{ unattestedRefusal() };
    return { *outcome, false };
}

bool LocalRunner::mayRetry(Job &job, const ExchangeResult &answer)
{
    const RequestContext &context = job.context;
    const AttemptOutcome outcome = answer.result.outcome;
    const bool again = certainlyNotRun(answer)
                       || (context.route.idempotent
                           && (outcome == AttemptOutcome::ConnectionLost
                               || outcome == AttemptOutcome::Failed));
    const TimePoint now = m_clock.now();
    if (!again || now >= context.deadline || !m_lease.isValid(now) || context.caller->isGone())
        return false;
    if (outcome != AttemptOutcome::ConnectionLost)
        return true;
    // The loss made the request a suspect, whose next run must be its only one.
    if (job.alone)
        m_suspects.release(context.fingerprint);
    const Admission admission = m_suspects.admit(context.fingerprint);
    job.alone = admission == Admission::Exclusive;
    const bool isOwner = job.cell->role() == DispatchRole::Owner;
    return admission == Admission::Unrestricted || (job.alone && isOwner);
}

ExchangeResult LocalRunner::attempt(Job &job, const Assignment &assignment, bool mayHedge)
{
    const TimePoint began = m_clock.now();
    ExchangeResult answer;
    const Duration delay = mayHedge && job.context.route.idempotent && !job.alone
                                   ? job.cell->hedgeDelay()
                                   : Duration::zero();
    if (delay > Duration::zero() && began + delay < job.context.deadline)
        answer = attemptWithHedge(job, assignment, delay);
    else
        answer = send(job, assignment, nullptr);
    job.context.upstream += m_clock.now() - began;
    return answer;
}

ExchangeResult LocalRunner::attemptWithHedge(Job &job, const Assignment &assignment, Duration delay)
{
    const auto race = std::make_shared<Race>();
    // The task may outlive this call only while the race is closed, and then touches nothing else.
    const RaceCloser closer(*race);
    m_workers.schedule(m_clock.now() + delay, [this, race, &job] {
        {
            const std::lock_guard lock(race->mutex);
            if (race->closed)
                return;
            race->running = true;
        }
        runHedge(job, *race);
    });
    ExchangeResult answer = send(job, assignment, &race->primary);
    if (isWhole(answer))
        race->hedge.cancel();
    race->close();
    if (isWhole(answer) || !race->hedgeAnswer)
        return answer;
    if (isWhole(*race->hedgeAnswer)) {
        ++m_counters.hedgesWon;
        return *race->hedgeAnswer;
    }
    // A hedge that was sent may have run, although the first attempt did not.
    return certainlyNotRun(answer) ? *race->hedgeAnswer : answer;
}

void LocalRunner::runHedge(Job &job, Race &race)
{
    std::optional<ExchangeResult> answer;
    try {
        if (const auto assignment = job.cell->hedge(job.request)) {
            ++m_counters.hedges;
            answer = send(job, *assignment, &race.hedge);
            if (isWhole(*answer))
                race.primary.cancel();
        }
    } catch (const std::exception &e) {
        LOG4CPLUS_ERROR(componentLogger("entry"), "hedged attempt failed: " << e.what());
    }
    const std::lock_guard lock(race.mutex);
    race.hedgeAnswer = std::move(answer);
    race.running = false;
    race.ended.notify_all();
}

ExchangeResult LocalRunner::send(Job &job, const Assignment &assignment,
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
    job.mayRun = !certainlyNotRun(answer);
    if (answer.response && isWhole(answer))
        m_suspects.succeed(context.fingerprint);
    else if (answer.result.outcome == AttemptOutcome::ConnectionLost && !answer.responseBegan)
        m_suspects.strike(context.fingerprint, context.homeRegions, began);
    return answer;
}

} // namespace lycheebay
