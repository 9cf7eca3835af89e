#include "gateway/internal/requestforwarder.h"

#include "base/seconds.h"
#include "http/httpserialization.h"
#include "http/httpstatus.h"

#include <absl/strings/numbers.h>

#include <array>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

// The other dispatcher gives up this much earlier, so that its answer arrives before the deadline
// here.
constexpr Duration kAnswerMargin = milliseconds(20);
// Assumed if a refusal names no time.
constexpr Duration kDefaultRetryAfter = milliseconds(200);
// Dispatchers that a request is offered to in a row; each refusal costs a round trip.
constexpr int kMaxOffers = 2;
constexpr int kMaxTotalOffers = 4;

Duration retryAfterOf(const HttpResponse &response)
{
    const std::string *text = findHeader(response.headers, "Retry-After");
    double seconds = 0;
    if (!text || !absl::SimpleAtod(*text, &seconds) || !(seconds >= 0) || seconds > 1e6)
        return kDefaultRetryAfter;
    return fromSeconds(seconds);
}

} // namespace

bool isForwarded(const HttpRequest &request)
{
    return findHeader(request.headers, kForwardedHeader) != nullptr;
}

std::string overflowOrigin(const HttpRequest &request)
{
    const std::string *value = findHeader(request.headers, kForwardedHeader);
    return value && *value != kForwardedToOwner ? *value : std::string();
}

RequestForwarder::RequestForwarder(GatewayContext &context, DispatcherSelector &selector,
                                   InstanceConnections &connections, std::string attemptId)
    : m_context(context)
    , m_selector(selector)
    , m_connections(connections)
    , m_attemptId(std::move(attemptId))
{}

bool RequestForwarder::start(HttpRequest request, SharedBody body, const ForwardRequest &wanted,
                             TimePoint deadline, Done done)
{
    m_request = std::move(request);
    m_body = std::move(body);
    m_wanted = wanted;
    m_deadline = deadline;
    m_offersLeft = std::min(kMaxOffers, kMaxTotalOffers - static_cast<int>(refusedBy().size()));
    m_done = std::move(done);
    if (sendToNext())
        return true;
    m_done = nullptr;
    return false;
}

void RequestForwarder::cancel()
{
    if (!isActive())
        return;
    m_done = nullptr;
    if (!m_connection)
        return;
    recordResult(ForwardResult::Abandoned, {});
    m_connection->close();
}

bool RequestForwarder::sendToNext()
{
    const TimePoint now = m_context.clock.now();
    const Duration remaining = m_deadline - now - kAnswerMargin;
    if (remaining <= Duration::zero() || m_offersLeft <= 0)
        return false;
    const auto dispatcher = m_selector.select(m_wanted, now);
    if (!dispatcher)
        return false;
    m_dispatcher = *dispatcher;
    m_wanted.triedInstances.push_back(m_dispatcher.instanceId);
    --m_offersLeft;
    m_sentAt = now;
    m_selector.recordSent(m_dispatcher.instanceId);
    LogFields fields("forwarded");
    fields.add("request", m_attemptId).add("dispatcher", m_dispatcher.instanceId);
    constexpr std::array kReasons{ "crowded", "no_room", "not_owner", "home_region" };
    fields.add("reason", kReasons.at(static_cast<std::size_t>(m_wanted.reason)));
    m_context.log.write(fields);
    HttpRequest request = m_request;
    m_context.protocol.setDeadline(request.headers, remaining);
    const bool overflow = !mustForward(m_wanted.reason);
    setHeader(request.headers, kForwardedHeader, overflow ? m_context.region : kForwardedToOwner);
    m_connection = m_connections.acquire(m_dispatcher.address);
    const IntrusivePtr<RequestForwarder> self(this);
    m_connection->send(serializeRequest(request, m_body), request.method == "HEAD", nullptr,
                       [self](TransferResult result, HttpResponse response) {
                           self->transferEnded(result, std::move(response));
                       });
    return true;
}

void RequestForwarder::transferEnded(TransferResult result, HttpResponse response)
{
    switch (result) {
    case TransferResult::Answered:
        m_connections.release(m_dispatcher.address, m_connection);
        responseReceived(std::move(response));
        return;
    case TransferResult::NotSent:
        refused(ForwardResult::Unreachable, kDefaultRetryAfter);
        return;
    case TransferResult::Lost:
    case TransferResult::Malformed:
        recordResult(ForwardResult::Lost, {});
        finish(ForwardOutcome::Unknown, {}, {});
        return;
    }
}

void RequestForwarder::responseReceived(HttpResponse response)
{
    const std::string *outcome = findHeader(response.headers, kForwardOutcomeHeader);
    if (outcome && *outcome == kNotRunOutcome) {
        refused(ForwardResult::Refused, retryAfterOf(response));
        return;
    }
    if (outcome && *outcome == kRejectedOutcome) {
        // The dispatcher has used the attempts that the route and the budget allow.
        const Duration retryAfter = retryAfterOf(response);
        recordResult(ForwardResult::Refused, retryAfter);
        finish(ForwardOutcome::Rejected, {}, retryAfter);
        return;
    }
    recordResult(ForwardResult::Accepted, {});
    if (m_wanted.reason == ForwardReason::NoRoom && m_dispatcher.region != m_context.region)
        m_context.overflow.countSent(m_dispatcher.region);
    if (outcome)
        finish(ForwardOutcome::Unknown, {}, {});
    else
        finish(ForwardOutcome::Response, std::move(response), {});
}

void RequestForwarder::refused(ForwardResult result, Duration retryAfter)
{
    recordResult(result, retryAfter);
    if (sendToNext())
        return;
    const bool sent = result == ForwardResult::Refused;
    finish(sent ? ForwardOutcome::NotRun : ForwardOutcome::NotSent, {}, retryAfter);
}

void RequestForwarder::recordResult(ForwardResult result, Duration retryAfter)
{
    const TimePoint now = m_context.clock.now();
    constexpr std::array kNames{ "accepted", "refused", "unreachable", "lost", "abandoned" };
    const char *name = kNames.at(static_cast<std::size_t>(result));
    m_context.metrics.countForward(name);
    m_selector.recordResult(m_dispatcher.instanceId, result, retryAfter, now - m_sentAt, now);
    if (result == ForwardResult::Accepted)
        return;
    LogFields fields("forward_ended");
    fields.add("request", m_attemptId).add("dispatcher", m_dispatcher.instanceId);
    fields.add("result", name).addMs("after_ms", now - m_sentAt);
    m_context.log.write(fields);
}

void RequestForwarder::finish(ForwardOutcome outcome, HttpResponse response, Duration retryAfter)
{
    const Done done = std::move(m_done);
    m_done = nullptr;
    done(outcome, std::move(response), retryAfter);
}

} // namespace lycheebay
