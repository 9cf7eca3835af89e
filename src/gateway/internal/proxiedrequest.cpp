#include "gateway/internal/proxiedrequest.h"

#include "base/seconds.h"
#include "http/httpserialization.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kFirstError = 400;
constexpr int kBadRequest = 400;
constexpr int kFirstServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// An attempt that takes this multiple of what was expected is taken for lost.
constexpr int kLostAttemptFactor = 4;
constexpr Duration kShortestAttemptTimeout = milliseconds(300);
// An answer that takes this multiple of what was expected counts against the target when the
// request had to be given up.
constexpr double kSlowTargetFactor = 2.5;
constexpr double kPercent = 100;
constexpr Duration kRefusalRetryAfter = milliseconds(200);

const char *verdictName(AttemptVerdict verdict)
{
    constexpr std::array kNames{ "served", "shed", "failed", "unreachable", "timed_out",
                                 "abandoned" };
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
                               const CallerTerms &terms)
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
    m_ticket.objective = now + route.targetLatency;
    m_ticket.giveUp = now + std::min(terms.deadline.value_or(route.timeout), route.timeout);
    m_ticket.homeRegions = route.homeRegions;
}

void ProxiedRequest::start()
{
    const IntrusivePtr<ProxiedRequest> self(this);
    m_exchange->onCallerGone([self] { self->callerGone(); });
    const Duration left = m_ticket.giveUp - m_context.clock.now();
    m_giveUpTimer = m_context.timers.after(std::max(left, Duration::zero()),
                                           [self] { self->giveUp(); });
    m_dispatcher.retries().countRequest(m_context.clock.now());
    queue();
}

void ProxiedRequest::queue()
{
    m_queued = true;
    addRef(); // the dispatcher's reference, given up in placed(), refused() and on cancel
    m_dispatcher.submit(m_ticket, *this);
}

void ProxiedRequest::placed(const Placement &placement, const IntrusivePtr<BackendLink> &link)
{
    const auto self = IntrusivePtr<ProxiedRequest>::adopt(this);
    m_queued = false;
    m_link = link;
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
    sendAttempt(placement);
}

void ProxiedRequest::sendAttempt(const Placement &placement)
{
    const TimePoint now = m_context.clock.now();
    const Duration remaining = m_ticket.giveUp - now;
    if (remaining < milliseconds(1)) {
        finishAttempt(AttemptVerdict::Abandoned, std::nullopt);
        giveUp();
        return;
    }
    m_sentAt = now;
    m_expected = placement.expected;
    m_ticket.tried.push_back(targetKey(placement.target));
    m_connection = m_link->acquireConnection(m_route.repeatability);
    if (!m_connection->isConnected())
        m_context.metrics.countConnectionOpened();
    const HttpRequest request = attemptRequest(remaining);
    const IntrusivePtr<ProxiedRequest> self(this);
    const auto isOurs = [&protocol = m_context.protocol,
                         id = m_terms.attemptId](const HttpResponse &response) {
        const std::string answered = protocol.readTargetSignals(response).attemptId;
        return answered.empty() || answered == id;
    };
    m_connection->send(serializeRequest(request), request.method == "HEAD", isOurs,
                       [self](TransferResult result, HttpResponse response) {
                           self->attemptEnded(result, std::move(response));
                       });
    const Duration patience = std::max(m_expected * kLostAttemptFactor, kShortestAttemptTimeout);
    if (m_route.repeatability == Repeatability::Idempotent && patience < remaining)
        m_attemptTimer = m_context.timers.after(patience, [self] { self->attemptTimedOut(); });
}

HttpRequest ProxiedRequest::attemptRequest(Duration remaining) const
{
    const HttpRequest &original = m_exchange->request();
    HttpRequest request{ original.method, original.target, {}, original.body };
    const std::string *host = findHeader(original.headers, "Host");
    request.headers.push_back({ "Host", host ? *host : std::string() });
    for (HttpHeader &it : endToEndHeaders(original.headers))
        request.headers.push_back(std::move(it));
    removeHeader(request.headers, "Expect");
    m_context.protocol.addAttemptFields(request.headers, m_link->record().id, remaining);
    return request;
}

void ProxiedRequest::attemptEnded(TransferResult result, HttpResponse response)
{
    m_attemptTimer.reset();
    if (result == TransferResult::NotSent) {
        dropConnection();
        finishAttempt(AttemptVerdict::Unreachable, std::nullopt);
        if (!tryAgain("unreachable"))
            refuse("target_unreachable", kRefusalRetryAfter);
        return;
    }
    if (result != TransferResult::Answered) {
        handleFailure(AttemptVerdict::Failed,
                      result == TransferResult::Lost ? "connection_lost" : "malformed_answer");
        return;
    }
    m_link->releaseConnection(m_connection);
    m_connection = nullptr;
    const TargetSignals signals = m_context.protocol.readTargetSignals(response);
    if (signals.notRun || signals.wrongTarget)
        handleNotRun(std::move(response), signals);
    else
        handleResponse(std::move(response), signals, elapsedSince(m_sentAt));
}

void ProxiedRequest::handleResponse(HttpResponse response, const TargetSignals &signals,
                                    Duration elapsed)
{
    const bool success = response.status >= kOk && response.status < kFirstError;
    if (success && !signals.sealed) {
        // A success that the target did not seal is not its answer.
        handleFailure(AttemptVerdict::Failed, "unsealed_answer");
        return;
    }
    if (response.status < kFirstServerError) {
        finishAttempt(AttemptVerdict::Served, elapsed, signals);
        deliver(std::move(response));
        return;
    }
    m_runState = RunState::MayHaveRun;
    finishAttempt(AttemptVerdict::Failed, elapsed, signals);
    if (m_route.repeatability == Repeatability::Idempotent && tryAgain("server_error"))
        return;
    deliver(std::move(response));
}

void ProxiedRequest::handleNotRun(HttpResponse response, const TargetSignals &signals)
{
    finishAttempt(signals.wrongTarget ? AttemptVerdict::Unreachable : AttemptVerdict::Shed,
                  std::nullopt, signals);
    if (tryAgain(signals.wrongTarget ? "wrong_target" : "shed"))
        return;
    if (response.status == kBadRequest)
        deliver(std::move(response));
    else
        refuse("target_refused", kRefusalRetryAfter);
}

void ProxiedRequest::handleFailure(AttemptVerdict verdict, const char *what)
{
    m_runState = RunState::MayHaveRun;
    dropConnection();
    finishAttempt(verdict, std::nullopt);
    if (m_route.repeatability == Repeatability::Idempotent && tryAgain(what))
        return;
    fail(kBadGateway, what);
}

void ProxiedRequest::attemptTimedOut()
{
    if (!m_connection || !mayTryAgain())
        return;
    handleFailure(AttemptVerdict::TimedOut, "no_answer");
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
    queue();
    return true;
}

void ProxiedRequest::refused(const Refusal &refusal)
{
    const auto self = IntrusivePtr<ProxiedRequest>::adopt(this);
    m_queued = false;
    refuse(refusalName(refusal.reason), refusal.retryAfter);
}

void ProxiedRequest::giveUp()
{
    const IntrusivePtr<ProxiedRequest> self(this);
    if (m_ended)
        return;
    if (m_queued) {
        m_queued = false;
        m_dispatcher.cancel(m_ticket.id);
        release();
        refuse("deadline", kRefusalRetryAfter);
        return;
    }
    if (m_connection) {
        m_runState = RunState::MayHaveRun;
        const Duration elapsed = elapsedSince(m_sentAt);
        const bool slow = toSeconds(elapsed) > toSeconds(m_expected) * kSlowTargetFactor;
        dropConnection();
        finishAttempt(slow ? AttemptVerdict::TimedOut : AttemptVerdict::Abandoned, elapsed);
    }
    fail(kGatewayTimeout, "deadline");
}

void ProxiedRequest::callerGone()
{
    const IntrusivePtr<ProxiedRequest> self(this);
    m_callerGone = true;
    if (m_ended)
        return;
    if (m_queued) {
        m_queued = false;
        m_dispatcher.cancel(m_ticket.id);
        release();
    } else if (m_connection) {
        if (m_route.repeatability == Repeatability::AtMostOnce) {
            // The run may already have taken effect; it goes on and its answer is dropped.
            return;
        }
        const Duration elapsed = elapsedSince(m_sentAt);
        dropConnection();
        finishAttempt(AttemptVerdict::Abandoned, elapsed);
    }
    LogFields fields = logFields("caller_gone");
    fields.addMs("after_ms", elapsedSince(m_ticket.arrival));
    m_context.log.write(fields);
    m_context.metrics.countRequest(m_route.name, "caller_gone");
    end();
}

void ProxiedRequest::finishAttempt(AttemptVerdict verdict, std::optional<Duration> elapsed,
                                   const TargetSignals &signals)
{
    m_attemptTimer.reset();
    m_context.metrics.countAttempt(verdictName(verdict));
    if (verdict != AttemptVerdict::Served) {
        LogFields fields = logFields("attempt_failed");
        fields.add("target", m_link->record().id).add("verdict", verdictName(verdict));
        fields.addMs("after_ms", elapsedSince(m_sentAt));
        m_context.log.write(fields);
    }
    const std::string key = targetKey(m_link->record());
    m_link = nullptr;
    m_dispatcher.finish(key, verdict, elapsed, signals);
}

void ProxiedRequest::dropConnection()
{
    if (m_connection)
        m_connection->close();
    m_connection = nullptr;
}

void ProxiedRequest::deliver(HttpResponse response)
{
    response.headers = endToEndHeaders(response.headers);
    const bool success = response.status < kFirstError;
    answer(response, success ? "served" : "target_error");
}

void ProxiedRequest::refuse(const char *reason, Duration retryAfter)
{
    if (m_runState == RunState::MayHaveRun) {
        fail(kGatewayTimeout, reason);
        return;
    }
    HttpResponse response = jsonResponse(
            kUnavailable, fmt::format(R"({{"outcome":"not-run","reason":"{}"}})", reason));
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
    m_attemptTimer.reset();
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
