#include "gateway/internal/proxiedrequest.h"

#include "base/seconds.h"
#include "http/httpserialization.h"
#include "http/httpstatus.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

// An idempotent request whose answer takes this multiple of what was expected is also sent to a
// second target. Lower values fill slots that other requests need.
constexpr int kPatienceFactor = 3;
constexpr Duration kShortestPatience = milliseconds(300);
// An answer that takes this multiple of what was expected counts against the target when the
// request had to be given up.
constexpr double kSlowTargetFactor = 2.5;
// A request that comes back too late for its objective waits for this part of the target latency.
constexpr int kLateWaitDivisor = 4;
constexpr double kPercent = 100;
constexpr Duration kRefusalRetryAfter = milliseconds(200);

const char *verdictName(AttemptVerdict verdict)
{
    constexpr std::array kNames{
        "served", "shed", "failed", "unreachable", "timed_out", "abandoned"
    };
    return kNames.at(static_cast<std::size_t>(verdict));
}

const char *refusalName(RefusalReason reason)
{
    constexpr std::array kNames{ "no_target", "queue_full", "waited_long" };
    return kNames.at(static_cast<std::size_t>(reason));
}

} // namespace

ProxiedRequest::ProxiedRequest(GatewayContext &context, IntrusivePtr<HttpExchange> exchange,
                               IntrusivePtr<const GatewayConfiguration> configuration,
                               const Route &route, ServiceDispatcher &dispatcher,
                               const RequestMetadata &terms, Duration waitedBefore)
    : m_context(context)
    , m_exchange(std::move(exchange))
    , m_configuration(std::move(configuration))
    , m_route(route)
    , m_dispatcher(dispatcher)
    , m_terms(terms)
{
    const TimePoint now = m_context.clock.now();
    m_ticket.id = dispatcher.nextTicketId();
    m_ticket.priority = route.priority;
    m_ticket.arrival = now;
    m_ticket.objective = now + route.targetLatency - waitedBefore;
    m_ticket.refuseAt = std::max(m_ticket.objective, now + route.targetLatency / kLateWaitDivisor);
    m_ticket.giveUp = now + std::min(terms.deadline.value_or(route.timeout), route.timeout);
    m_ticket.homeRegions = route.homeRegions;
}

void ProxiedRequest::start()
{
    const IntrusivePtr<ProxiedRequest> self(this);
    m_exchange->onCallerGone([self] { self->callerGone(); });
    const Duration left = m_ticket.giveUp - m_context.clock.now();
    m_giveUpTimer =
            m_context.timers.after(std::max(left, Duration::zero()), [self] { self->giveUp(); });
    m_dispatcher.retries().countRequest(m_context.clock.now());
    queue();
}

void ProxiedRequest::queue()
{
    m_queued = true;
    addRef(); // the dispatcher's reference, given up in placed(), refused() and leaveQueue()
    m_dispatcher.submit(m_ticket, *this);
}

void ProxiedRequest::leaveQueue()
{
    if (!m_queued)
        return;
    m_queued = false;
    m_dispatcher.cancel(m_ticket.id);
    release();
}

void ProxiedRequest::placed(const Placement &placement, const IntrusivePtr<BackendLink> &link)
{
    const auto self = IntrusivePtr<ProxiedRequest>::adopt(this);
    m_queued = false;
    ++m_attempts;
    m_context.metrics.observeQueueTime(elapsedSince(m_ticket.arrival));
    LogFields fields = logFields("placed");
    fields.add("target", placement.target.id)
            .add("attempt", m_attempts)
            .addMs("waited_ms", elapsedSince(m_ticket.arrival))
            .addMs("expected_ms", placement.expected)
            .add("slowdown_pct", static_cast<std::int64_t>(placement.slowdown * kPercent))
            .add("queued", static_cast<std::int64_t>(placement.queued));
    if (placement.loadAge)
        fields.addMs("load_age_ms", *placement.loadAge);
    m_context.log.write(fields);
    auto attempt = makeRef<ProxyAttempt>();
    attempt->link = link;
    attempt->sentAt = m_context.clock.now();
    attempt->expected = placement.expected;
    m_active.push_back(attempt);
    m_ticket.tried.push_back(targetKey(placement.target));
    send(attempt);
}

void ProxiedRequest::send(const AttemptPtr &attempt)
{
    const Duration remaining = m_ticket.giveUp - attempt->sentAt;
    if (remaining < milliseconds(1)) {
        finishAttempt(attempt, AttemptVerdict::Abandoned, std::nullopt);
        giveUp();
        return;
    }
    attempt->connection = attempt->link->acquireConnection(m_route.executionSemantics);
    if (!attempt->connection->isConnected())
        m_context.metrics.countConnectionOpened();
    const HttpRequest request = attemptRequest(attempt->link->record(), remaining);
    const IntrusivePtr<ProxiedRequest> self(this);
    const auto isOurs = [&protocol = m_context.protocol,
                         id = m_terms.attemptId](const HttpResponse &response) {
        const std::string answered = protocol.readResponseMetadata(response).attemptId;
        return answered.empty() || answered == id;
    };
    attempt->connection->send(serializeRequest(request), request.method == "HEAD", isOurs,
                              [self, attempt](TransferResult result, HttpResponse response) {
                                  self->transferEnded(attempt, result, std::move(response));
                              });
    const Duration patience = std::max(attempt->expected * kPatienceFactor, kShortestPatience);
    if (isIdempotent() && patience < remaining) {
        attempt->patienceTimer =
                m_context.timers.after(patience, [self, attempt] { self->patienceEnded(attempt); });
    }
}

HttpRequest ProxiedRequest::attemptRequest(const TargetRecord &target, Duration remaining) const
{
    const HttpRequest &original = m_exchange->request();
    HttpRequest request{ original.method, original.target, {}, original.body };
    const std::string *host = findHeader(original.headers, "Host");
    request.headers.push_back({ "Host", host ? *host : std::string() });
    for (HttpHeader &it : endToEndHeaders(original.headers))
        request.headers.push_back(std::move(it));
    removeHeader(request.headers, "Expect");
    m_context.protocol.addAttemptFields(request.headers, target.id, remaining);
    return request;
}

void ProxiedRequest::transferEnded(const AttemptPtr &attempt, TransferResult result,
                                   HttpResponse response)
{
    if (result == TransferResult::NotSent) {
        finishAttempt(attempt, AttemptVerdict::Unreachable, std::nullopt);
        if (!isPending() && !tryAgain("unreachable"))
            refuse("target_unreachable", kRefusalRetryAfter);
        return;
    }
    if (result != TransferResult::Answered) {
        finishAttempt(attempt, AttemptVerdict::Failed, std::nullopt);
        handleFailure(result == TransferResult::Lost ? "connection_lost" : "malformed_answer");
        return;
    }
    attempt->link->releaseConnection(attempt->connection);
    const ResponseMetadata signals = m_context.protocol.readResponseMetadata(response);
    if (signals.notRun || signals.wrongTarget)
        handleNotRun(attempt, std::move(response), signals);
    else
        handleResponse(attempt, std::move(response), signals);
}

void ProxiedRequest::handleResponse(const AttemptPtr &attempt, HttpResponse response,
                                    const ResponseMetadata &signals)
{
    const Duration elapsed = elapsedSince(attempt->sentAt);
    const bool success =
            response.status >= httpstatus::kOk && response.status < httpstatus::kFirstError;
    if (success && !signals.sealed) {
        // A success that the target did not seal is not its answer.
        finishAttempt(attempt, AttemptVerdict::Failed, std::nullopt);
        handleFailure("unsealed_answer");
        return;
    }
    if (response.status < httpstatus::kFirstServerError) {
        finishAttempt(attempt, AttemptVerdict::Served, elapsed, signals);
        deliver(std::move(response));
        return;
    }
    m_runState = RunState::MayHaveRun;
    finishAttempt(attempt, AttemptVerdict::Failed, elapsed, signals);
    if (isIdempotent() && (isPending() || tryAgain("server_error")))
        return;
    deliver(std::move(response));
}

void ProxiedRequest::handleNotRun(const AttemptPtr &attempt, HttpResponse response,
                                  const ResponseMetadata &signals)
{
    finishAttempt(attempt, signals.wrongTarget ? AttemptVerdict::Unreachable : AttemptVerdict::Shed,
                  std::nullopt, signals);
    if (isPending() || tryAgain(signals.wrongTarget ? "wrong_target" : "shed"))
        return;
    if (response.status == httpstatus::kBadRequest)
        deliver(std::move(response));
    else
        refuse("target_refused", kRefusalRetryAfter);
}

void ProxiedRequest::handleFailure(const char *what)
{
    m_runState = RunState::MayHaveRun;
    if (isIdempotent() && (isPending() || tryAgain(what)))
        return;
    fail(httpstatus::kBadGateway, what);
}

void ProxiedRequest::patienceEnded(const AttemptPtr &attempt)
{
    if (attempt->ended || m_queued)
        return;
    tryAgain("slow_answer");
}

bool ProxiedRequest::mayTryAgain() const
{
    return !m_ended && !m_callerGone && m_attempts < m_route.maxAttempts
           && m_context.clock.now() < m_ticket.giveUp;
}

bool ProxiedRequest::tryAgain(const char *why)
{
    if (!mayTryAgain())
        return false;
    const bool allowed = m_dispatcher.retries().tryTake(m_context.clock.now());
    m_context.metrics.countExtraAttempt(allowed);
    LogFields fields = logFields(allowed ? "retry" : "retry_over_budget");
    fields.add("reason", why).add("attempt", m_attempts);
    m_context.log.write(fields);
    if (!allowed)
        return false;
    // A repeat may use the rest of the time, since a late answer is better than none.
    m_ticket.objective = m_ticket.giveUp;
    m_ticket.refuseAt = m_ticket.giveUp;
    queue();
    return true;
}

void ProxiedRequest::refused(const Refusal &refusal)
{
    const auto self = IntrusivePtr<ProxiedRequest>::adopt(this);
    m_queued = false;
    if (!isPending())
        refuse(refusalName(refusal.reason), refusal.retryAfter);
}

void ProxiedRequest::giveUp()
{
    const IntrusivePtr<ProxiedRequest> self(this);
    if (m_ended)
        return;
    leaveQueue();
    abandonAttempts();
    if (m_runState == RunState::NotRun)
        refuse("deadline", kRefusalRetryAfter);
    else
        fail(httpstatus::kGatewayTimeout, "deadline");
}

void ProxiedRequest::callerGone()
{
    const IntrusivePtr<ProxiedRequest> self(this);
    m_callerGone = true;
    if (m_ended)
        return;
    leaveQueue();
    // A run that must not be repeated may already have taken effect; it goes on and its answer is
    // dropped.
    if (!m_active.empty() && !isIdempotent())
        return;
    abandonAttempts();
    LogFields fields = logFields("caller_gone");
    fields.addMs("after_ms", elapsedSince(m_ticket.arrival));
    m_context.log.write(fields);
    m_context.metrics.countRequest(m_route.name, "caller_gone");
    end();
}

void ProxiedRequest::finishAttempt(const AttemptPtr &attempt, AttemptVerdict verdict,
                                   std::optional<Duration> elapsed, const ResponseMetadata &signals)
{
    attempt->ended = true;
    attempt->patienceTimer.reset();
    std::erase(m_active, attempt);
    m_context.metrics.countAttempt(verdictName(verdict));
    const std::string id = attempt->link->record().id;
    if (verdict != AttemptVerdict::Served) {
        LogFields fields = logFields("attempt_failed");
        fields.add("target", id).add("verdict", verdictName(verdict));
        fields.addMs("after_ms", elapsedSince(attempt->sentAt));
        m_context.log.write(fields);
    }
    m_dispatcher.finish(targetKey(attempt->link->record()), verdict, elapsed, signals);
}

void ProxiedRequest::abandonAttempts()
{
    const std::vector<AttemptPtr> attempts = m_active;
    for (const AttemptPtr &it : attempts) {
        m_runState = RunState::MayHaveRun;
        const Duration elapsed = elapsedSince(it->sentAt);
        const bool slow = toSeconds(elapsed) > toSeconds(it->expected) * kSlowTargetFactor;
        it->connection->close();
        finishAttempt(it, slow ? AttemptVerdict::TimedOut : AttemptVerdict::Abandoned, elapsed);
    }
}

void ProxiedRequest::deliver(HttpResponse response)
{
    response.headers = endToEndHeaders(response.headers);
    const bool success = response.status < httpstatus::kFirstError;
    answer(response, success ? "served" : "target_error");
}

void ProxiedRequest::refuse(const char *reason, Duration retryAfter)
{
    if (m_runState == RunState::MayHaveRun) {
        fail(httpstatus::kGatewayTimeout, reason);
        return;
    }
    HttpResponse response =
            jsonResponse(httpstatus::kUnavailable,
                         fmt::format(R"({{"outcome":"not-run","reason":"{}"}})", reason));
    response.headers.push_back({ "Retry-After", fmt::format("{:.3f}", toSeconds(retryAfter)) });
    LogFields fields = logFields("refused");
    fields.add("reason", reason).addMs("retry_after_ms", retryAfter);
    m_context.log.write(fields);
    answer(response, "refused");
}

void ProxiedRequest::fail(int status, const char *reason)
{
    LogFields fields = logFields("failed");
    fields.add("reason", reason).add("attempts", m_attempts);
    m_context.log.write(fields);
    answer(jsonResponse(status, fmt::format(R"({{"outcome":"unknown","reason":"{}"}})", reason)),
           "failed");
}

void ProxiedRequest::answer(const HttpResponse &response, const char *outcome)
{
    if (m_ended)
        return;
    const IntrusivePtr<ProxiedRequest> self(this);
    leaveQueue();
    abandonAttempts();
    const Duration latency = elapsedSince(m_ticket.arrival);
    m_context.metrics.countRequest(m_route.name, outcome);
    m_context.metrics.observeLatency(m_route.name, latency);
    LogFields fields = logFields("answered");
    fields.add("outcome", outcome).add("status", response.status).addMs("latency_ms", latency);
    m_context.log.write(fields);
    m_exchange->respond(response);
    end();
}

void ProxiedRequest::end()
{
    m_ended = true;
    // The timers and the exchange hold references to this request.
    m_giveUpTimer.reset();
    m_exchange->onCallerGone(nullptr);
}

LogFields ProxiedRequest::logFields(const char *event) const
{
    LogFields fields(event);
    fields.add("request", m_terms.attemptId).add("route", m_route.name);
    fields.add("service", m_dispatcher.service());
    fields.add("config", static_cast<std::int64_t>(m_configuration->version));
    return fields;
}

} // namespace lycheebay
