#include "gateway/internal/proxiedrequest.h"

#include "base/seconds.h"
#include "http/httpserialization.h"
#include "http/httpstatus.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

// An idempotent request is hedged after this multiple of its expected service time. Lower values
// use slots that other requests need.
constexpr int kHedgeDelayFactor = 3;
constexpr Duration kMinHedgeDelay = milliseconds(300);
// A cancelled attempt counts as a timeout of the target if it took more than this multiple of the
// expected service time.
constexpr double kSlowTargetFactor = 2.5;
// A request that can no longer meet its objective when it arrives may be queued for this fraction
// of the target latency.
constexpr int kLateWaitDivisor = 4;
constexpr double kPercent = 100;

const char *resultName(AttemptResult result)
{
    constexpr std::array kNames{
        "served", "shed", "failed", "unreachable", "timed_out", "abandoned"
    };
    return kNames.at(static_cast<std::size_t>(result));
}

const char *refusalName(RefusalReason reason)
{
    constexpr std::array kNames{ "no_target", "queue_full", "crowded", "not_owner", "waited_long" };
    return kNames.at(static_cast<std::size_t>(reason));
}

/// True if callers take the status as a promise that the request has not run and never will.
bool promisesNotRun(int status)
{
    return status == httpstatus::kRequestTimeout || status == httpstatus::kMisdirected
           || status == httpstatus::kTooManyRequests || status == httpstatus::kUnavailable;
}

ForwardReason forwardReasonFor(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Crowded:
        return ForwardReason::Crowded;
    case RefusalReason::NotOwner:
        return ForwardReason::NotOwner;
    case RefusalReason::NoTarget:
    case RefusalReason::QueueFull:
    case RefusalReason::WaitedLong:
        break;
    }
    return ForwardReason::NoRoom;
}

} // namespace

ProxiedRequest::ProxiedRequest(GatewayContext &context, IntrusivePtr<HttpExchange> exchange,
                               IntrusivePtr<const GatewayConfiguration> configuration,
                               const Route &route, ServiceDispatcher &dispatcher,
                               InstanceConnections &instanceConnections,
                               const RequestMetadata &metadata, Duration previousWait)
    : m_context(context)
    , m_exchange(std::move(exchange))
    , m_configuration(std::move(configuration))
    , m_route(route)
    , m_dispatcher(dispatcher)
    , m_requestMetadata(metadata)
    , m_fingerprint(fingerprintOf(m_exchange->request()))
    , m_forwarder(makeRef<RequestForwarder>(context, dispatcher.dispatcherSelector(),
                                            instanceConnections, metadata.attemptId))
    , m_isForwarded(isForwarded(m_exchange->request()))
    , m_mustLeaveRegion(
              !route.homeRegions.empty()
              && std::find(route.homeRegions.begin(), route.homeRegions.end(), context.region)
                         == route.homeRegions.end())
{
    const TimePoint now = m_context.clock.now();
    m_queuedRequest.id = dispatcher.nextRequestId();
    m_queuedRequest.priority = route.priority;
    m_queuedRequest.arrival = now;
    m_queuedRequest.objective = now + route.targetLatency - previousWait;
    m_queuedRequest.refuseAt =
            std::max(m_queuedRequest.objective, now + route.targetLatency / kLateWaitDivisor);
    // The caller's time has run while the body was read.
    const Duration callerWaits =
            metadata.deadline.value_or(Duration::max()) - (now - m_exchange->headAt());
    m_queuedRequest.deadline = now + std::min(callerWaits, route.timeout);
    m_queuedRequest.homeRegions = route.homeRegions;
    m_queuedRequest.mayLeave = !m_isForwarded;
}

void ProxiedRequest::start()
{
    const IntrusivePtr<ProxiedRequest> self(this);
    if (!admit())
        return;
    m_exchange->onCallerGone([self] { self->callerDisconnected(); });
    m_exchange->onMemoryNeeded([self] { self->memoryNeeded(); });
    m_context.requests.pushBack(this);
    setDeadlineTimer();
    // The instance that forwarded the request has counted it.
    if (!m_isForwarded)
        m_dispatcher.retryLimiter().countRequest(m_context.clock.now());
    if (!m_mustLeaveRegion || !forward(ForwardReason::HomeRegion))
        enqueue();
}

void ProxiedRequest::setDeadlineTimer()
{
    const IntrusivePtr<ProxiedRequest> self(this);
    const Duration left = m_queuedRequest.deadline - m_context.clock.now();
    m_deadlineTimer = m_context.timers.after(std::max(left, Duration::zero()),
                                             [self] { self->deadlineExpired(); });
}

void ProxiedRequest::endBy(TimePoint latest)
{
    if (m_ended || latest >= m_queuedRequest.deadline)
        return;
    m_queuedRequest.deadline = latest;
    m_queuedRequest.objective = std::min(m_queuedRequest.objective, latest);
    m_queuedRequest.refuseAt = std::min(m_queuedRequest.refuseAt, latest);
    setDeadlineTimer();
    if (!m_queued)
        return;
    m_dispatcher.cancel(m_queuedRequest.id);
    m_dispatcher.submit(m_queuedRequest, *this);
}

void ProxiedRequest::enqueue()
{
    m_queued = true;
    addRef(); // released in onPlaced(), onRefused() and leaveQueue()
    m_dispatcher.submit(m_queuedRequest, *this);
}

void ProxiedRequest::leaveQueue()
{
    if (!m_queued)
        return;
    m_queued = false;
    cancelRetryReservation();
    m_dispatcher.cancel(m_queuedRequest.id);
    release();
}

void ProxiedRequest::onPlaced(const Placement &placement,
                              const IntrusivePtr<TargetConnections> &targetConnections)
{
    const auto self = IntrusivePtr<ProxiedRequest>::adopt(this);
    m_queued = false;
    if (m_context.crashes.isRefused(m_fingerprint)) {
        // It became a suspect while it was queued.
        cancelRetryReservation();
        m_dispatcher.finish(targetKey(placement.target), AttemptResult::Abandoned, std::nullopt,
                            {});
        if (!isPending())
            refuseSuspect();
        return;
    }
    if (std::exchange(m_retryReserved, false))
        m_dispatcher.retryLimiter().commit(m_context.clock.now());
    ++m_attempts;
    countPlacement();
    m_context.metrics.observeQueueTime(elapsedSince(m_queuedRequest.arrival));
    LogFields fields = logFields("placed");
    fields.add("target", placement.target.id)
            .add("attempt", m_attempts)
            .addMs("waited_ms", elapsedSince(m_queuedRequest.arrival))
            .addMs("expected_ms", placement.expected)
            .add("slowdown_pct", static_cast<std::int64_t>(placement.slowdown * kPercent))
            .add("queued", static_cast<std::int64_t>(placement.queued));
    if (placement.loadAge)
        fields.addMs("load_age_ms", *placement.loadAge);
    m_context.log.write(fields);
    auto attempt = makeRef<ProxyAttempt>();
    attempt->targetConnections = targetConnections;
    attempt->sentAt = m_context.clock.now();
    attempt->expected = placement.expected;
    m_active.push_back(attempt);
    m_queuedRequest.triedTargets.push_back(targetKey(placement.target));
    send(attempt);
}

void ProxiedRequest::send(const AttemptPtr &attempt)
{
    const Duration remaining = m_queuedRequest.deadline - attempt->sentAt;
    if (remaining < milliseconds(1)) {
        finishAttempt(attempt, AttemptResult::Abandoned, std::nullopt);
        deadlineExpired();
        return;
    }
    attempt->connection = attempt->targetConnections->acquireConnection(m_route.executionSemantics);
    if (!attempt->connection->isConnected())
        m_context.metrics.countConnectionOpened();
    const HttpRequest request = attemptRequest(attempt->targetConnections->record(), remaining);
    const IntrusivePtr<ProxiedRequest> self(this);
    const auto isOurs = [&protocol = m_context.protocol,
                         id = m_requestMetadata.attemptId](const HttpResponse &response) {
        const std::string answered = protocol.readResponseMetadata(response).attemptId;
        return answered.empty() || answered == id;
    };
    m_exchange->setInUse();
    attempt->connection->send(serializeRequest(request, body()), request.method == "HEAD", isOurs,
                              [self, attempt](TransferResult result, HttpResponse response) {
                                  self->transferEnded(attempt, result, std::move(response));
                              });
    const Duration hedgeDelay = std::max(attempt->expected * kHedgeDelayFactor, kMinHedgeDelay);
    if (isIdempotent() && hedgeDelay < remaining) {
        attempt->hedgeTimer = m_context.timers.after(
                hedgeDelay, [self, attempt] { self->hedgeDelayEnded(attempt); });
    }
}

HttpRequest ProxiedRequest::attemptRequest(const TargetRecord &target, Duration remaining) const
{
    HttpRequest request = endToEndRequest();
    m_context.protocol.addAttemptFields(request.headers, target.id, remaining);
    return request;
}

HttpRequest ProxiedRequest::endToEndRequest() const
{
    const HttpRequest &original = m_exchange->request();
    HttpRequest request{ original.method, original.target, {}, {} };
    const std::string *host = findHeader(original.headers, "Host");
    request.headers.push_back({ "Host", host ? *host : std::string() });
    for (HttpHeader &it : endToEndHeaders(original.headers))
        request.headers.push_back(std::move(it));
    removeHeader(request.headers, "Expect");
    removeHeader(request.headers, kForwardedHeader);
    return request;
}

void ProxiedRequest::transferEnded(const AttemptPtr &attempt, TransferResult result,
                                   HttpResponse response)
{
    if (result == TransferResult::NotSent) {
        finishAttempt(attempt, AttemptResult::Unreachable, std::nullopt);
        if (!isPending() && !tryAgain("unreachable"))
            refuse("target_unreachable", kRefusalRetryAfter);
        return;
    }
    m_mustEnd = true;
    if (result != TransferResult::Answered) {
        recordLoss(attempt);
        finishAttempt(attempt, AttemptResult::Failed, std::nullopt);
        handleFailure(result == TransferResult::Lost ? "connection_lost" : "malformed_answer");
        return;
    }
    const ResponseMetadata metadata = m_context.protocol.readResponseMetadata(response);
    const bool rejected = metadata.notRun || metadata.wrongTarget;
    if (!metadata.wrongTarget) {
        attempt->targetConnections->recordAnswer(m_context.clock.now());
        m_context.crashes.recordAnswer(attempt->targetConnections->record().failureDomain);
    }
    if (rejected && metadata.attemptId.empty()) {
        // A faulty target may send the rejection again where the next answer is expected.
        attempt->connection->close();
        if (attempt->connection->hasDroppedResponses()) {
            finishAttempt(attempt, AttemptResult::Failed, std::nullopt);
            handleFailure("unmatched_rejection");
            return;
        }
    }
    attempt->targetConnections->releaseConnection(attempt->connection);
    if (rejected)
        handleNotRun(attempt, std::move(response), metadata);
    else
        handleResponse(attempt, std::move(response), metadata);
}

void ProxiedRequest::handleResponse(const AttemptPtr &attempt, HttpResponse response,
                                    const ResponseMetadata &metadata)
{
    m_executionState = ExecutionState::MayHaveRun;
    if (provesRun(response, metadata))
        m_context.crashes.recordResponse(m_fingerprint);
    const Duration elapsed = elapsedSince(attempt->sentAt);
    const bool success =
            response.status >= httpstatus::kOk && response.status < httpstatus::kFirstError;
    if (success && !metadata.sealed) {
        // Without the seal, the successful response was not produced by the target.
        finishAttempt(attempt, AttemptResult::Failed, std::nullopt);
        handleFailure("unsealed_answer");
        return;
    }
    // The instance that forwarded the request passes the answer on too.
    removeHeader(response.headers, kLeavingTargetHeader);
    if (m_isForwarded && metadata.leaving) {
        response.headers.push_back(
                { kLeavingTargetHeader, targetKey(attempt->targetConnections->record()) });
    }
    if (response.status < httpstatus::kFirstServerError) {
        finishAttempt(attempt, AttemptResult::Served, elapsed, metadata);
        deliver(std::move(response));
        return;
    }
    finishAttempt(attempt, AttemptResult::Failed, elapsed, metadata);
    if (isIdempotent() && (isPending() || tryAgain("server_error")))
        return;
    deliver(std::move(response));
}

void ProxiedRequest::handleNotRun(const AttemptPtr &attempt, HttpResponse response,
                                  const ResponseMetadata &metadata)
{
    finishAttempt(attempt, metadata.wrongTarget ? AttemptResult::Unreachable : AttemptResult::Shed,
                  std::nullopt, metadata);
    if (isPending() || tryAgain(metadata.wrongTarget ? "wrong_target" : "shed"))
        return;
    if (response.status == httpstatus::kBadRequest)
        deliver(std::move(response));
    else
        refuse("target_refused", kRefusalRetryAfter);
}

void ProxiedRequest::handleFailure(const char *what)
{
    m_executionState = ExecutionState::MayHaveRun;
    if (isIdempotent() && (isPending() || tryAgain(what) || waitForVerdict(what)))
        return;
    fail(httpstatus::kBadGateway, what);
}

void ProxiedRequest::onRefused(const Refusal &refusal)
{
    const auto self = IntrusivePtr<ProxiedRequest>::adopt(this);
    m_queued = false;
    cancelRetryReservation();
    if (isPending() || forward(forwardReasonFor(refusal.reason)))
        return;
    if (refusal.reason == RefusalReason::Crowded || refusal.reason == RefusalReason::NotOwner)
        stay();
    else
        refuse(refusalName(refusal.reason), refusal.retryAfter);
}

void ProxiedRequest::deadlineExpired()
{
    giveUp("deadline");
}

void ProxiedRequest::memoryNeeded()
{
    giveUp("out_of_memory");
}

void ProxiedRequest::giveUp(const char *reason)
{
    const IntrusivePtr<ProxiedRequest> self(this);
    if (m_ended)
        return;
    leaveQueue();
    abandonForwarding();
    abandonAttempts();
    refuse(reason, kRefusalRetryAfter);
}

void ProxiedRequest::callerDisconnected()
{
    const IntrusivePtr<ProxiedRequest> self(this);
    m_callerDisconnected = true;
    if (m_ended)
        return;
    leaveQueue();
    // An at-most-once request may already have taken effect. It is not cancelled, and its answer is
    // discarded.
    if ((!m_active.empty() || m_forwarder->isActive()) && !isIdempotent())
        return;
    abandonForwarding();
    abandonAttempts();
    LogFields fields = logFields("caller_gone");
    fields.addMs("after_ms", elapsedSince(m_queuedRequest.arrival));
    m_context.log.write(fields);
    m_context.metrics.countRequest(m_route.name, "caller_gone");
    end();
}

void ProxiedRequest::finishAttempt(const AttemptPtr &attempt, AttemptResult result,
                                   std::optional<Duration> elapsed,
                                   const ResponseMetadata &metadata)
{
    attempt->ended = true;
    attempt->hedgeTimer.reset();
    std::erase(m_active, attempt);
    m_context.metrics.countAttempt(resultName(result));
    const std::string id = attempt->targetConnections->record().id;
    if (result != AttemptResult::Served) {
        LogFields fields = logFields("attempt_failed");
        fields.add("target", id).add("verdict", resultName(result));
        fields.addMs("after_ms", elapsedSince(attempt->sentAt));
        m_context.log.write(fields);
    }
    m_dispatcher.finish(targetKey(attempt->targetConnections->record()), result, elapsed, metadata);
}

void ProxiedRequest::abandonAttempts()
{
    const std::vector<AttemptPtr> attempts = m_active;
    for (const AttemptPtr &it : attempts) {
        m_executionState = ExecutionState::MayHaveRun;
        const Duration elapsed = elapsedSince(it->sentAt);
        const bool slow = toSeconds(elapsed) > toSeconds(it->expected) * kSlowTargetFactor;
        // A crashed target may also fall silent.
        if (slow && it->targetConnections->lastAnswerAt() < it->sentAt)
            recordLoss(it);
        it->connection->close();
        finishAttempt(it, slow ? AttemptResult::TimedOut : AttemptResult::Abandoned, elapsed);
    }
}

void ProxiedRequest::deliver(HttpResponse response)
{
    if (promisesNotRun(response.status) && !mayPromiseNotRun()) {
        fail(httpstatus::kBadGateway, "unproven_rejection");
        return;
    }
    response.headers = endToEndHeaders(response.headers);
    const bool success = response.status < httpstatus::kFirstError;
    answer(response, success ? "served" : "target_error");
}

void ProxiedRequest::refuse(const char *reason, Duration retryAfter)
{
    if (m_executionState == ExecutionState::MayHaveRun) {
        fail(httpstatus::kGatewayTimeout, reason);
        return;
    }
    HttpResponse response =
            jsonResponse(httpstatus::kUnavailable,
                         fmt::format(R"({{"outcome":"not-run","reason":"{}"}})", reason));
    response.headers.push_back({ "Retry-After", fmt::format("{:.3f}", toSeconds(retryAfter)) });
    if (m_isForwarded)
        response.headers.push_back(
                { kForwardOutcomeHeader, m_mustEnd ? kRejectedOutcome : kNotRunOutcome });
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
    HttpResponse response =
            jsonResponse(status, fmt::format(R"({{"outcome":"unknown","reason":"{}"}})", reason));
    if (m_isForwarded)
        response.headers.push_back({ kForwardOutcomeHeader, kUnknownOutcome });
    answer(response, "failed");
}

void ProxiedRequest::answer(const HttpResponse &response, const char *outcome)
{
    if (m_ended)
        return;
    const IntrusivePtr<ProxiedRequest> self(this);
    leaveQueue();
    abandonAttempts();
    const Duration latency = elapsedSince(m_queuedRequest.arrival);
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
    unlink();
    if (std::exchange(m_runsExclusively, false))
        m_context.crashes.release(m_fingerprint);
    // The timer and the exchange hold references to this request.
    m_deadlineTimer.reset();
    m_verdictTimer.reset();
    m_exchange->onCallerGone(nullptr);
    m_exchange->onMemoryNeeded(nullptr);
}

LogFields ProxiedRequest::logFields(const char *event) const
{
    LogFields fields(event);
    fields.add("request", m_requestMetadata.attemptId).add("route", m_route.name);
    fields.add("service", m_dispatcher.service());
    fields.add("config", static_cast<std::int64_t>(m_configuration->version));
    return fields;
}

} // namespace lycheebay
