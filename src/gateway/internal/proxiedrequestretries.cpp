#include "gateway/internal/proxiedrequest.h"

#include <utility>

namespace lycheebay {

void ProxiedRequest::hedgeDelayEnded(const AttemptPtr &attempt)
{
    if (attempt->ended || m_queued)
        return;
    tryAgain("slow_answer");
}

bool ProxiedRequest::mayTryAgain() const
{
    return !m_ended && !m_callerDisconnected && m_attempts < m_route.maxAttempts
           && m_context.clock.now() < m_queuedRequest.deadline;
}

bool ProxiedRequest::tryAgain(const char *why)
{
    if (!mayTryAgain())
        return false;
    const bool allowed = m_dispatcher.retryLimiter().tryReserve(m_context.clock.now());
    m_context.metrics.countExtraAttempt(allowed);
    LogFields fields = logFields(allowed ? "retry" : "retry_over_budget");
    fields.add("reason", why).add("attempt", m_attempts);
    const RetryBudgetUsage usage = m_dispatcher.retryLimiter().usage(m_context.clock.now());
    fields.add("budget_used", usage.extraAttempts)
            .add("budget_limit", static_cast<std::int64_t>(usage.limit))
            .add("window_requests", usage.requests)
            .add("instances", static_cast<std::int64_t>(usage.instances));
    m_context.log.write(fields);
    if (!allowed)
        return false;
    m_retryReserved = true;
    // A retry may use all the time up to the deadline, since a late answer is better than none.
    m_queuedRequest.objective = m_queuedRequest.deadline;
    m_queuedRequest.refuseAt = m_queuedRequest.deadline;
    m_queuedRequest.mayLeave = false;
    enqueue();
    return true;
}

void ProxiedRequest::cancelRetryReservation()
{
    if (std::exchange(m_retryReserved, false))
        m_dispatcher.retryLimiter().cancel();
}

} // namespace lycheebay
