#include "gateway/internal/proxiedrequest.h"
#include "http/httpstatus.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lycheebay {

void ProxiedRequest::hedgeDelayEnded(const AttemptPtr &attempt)
{
    if (attempt->ended || m_queued)
        return;
    tryAgain("slow_answer");
}

bool ProxiedRequest::admit()
{
    const Admission admission = m_context.crashes.admit(m_fingerprint);
    m_runsExclusively = admission == Admission::Exclusive;
    if (m_runsExclusively || admission == Admission::Unrestricted)
        return true;
    refuseSuspect();
    return false;
}

void ProxiedRequest::refuseSuspect()
{
    // The instance that forwarded the request may not know the suspect.
    m_mustEnd = true;
    // Another run of it may be in progress; the request is not refused for a time then.
    const Duration left = m_context.crashes.refusedFor(m_fingerprint);
    refuse("crash_suspect", std::max(left, kRefusalRetryAfter));
}

void ProxiedRequest::recordLoss(const AttemptPtr &attempt)
{
    const TargetRecord &target = attempt->targetConnections->record();
    const bool hasBytes = attempt->connection->lastReadAt() >= attempt->sentAt;
    const bool isLeaving = target.leaving || m_context.leavingTargets.contains(targetKey(target));
    LogFields fields = logFields("attempt_lost");
    fields.add("target", target.id).add("fingerprint", fmt::format("{:016x}", m_fingerprint));
    fields.add("has_bytes", hasBytes ? 1 : 0).add("target_leaving", isLeaving ? 1 : 0);
    m_context.log.write(fields);
    if (!isLeaving) {
        m_context.crashes.recordLostAttempt({ m_fingerprint, attempt->sentAt, m_route.homeRegions },
                                            attempt->targetConnections, m_dispatcher.healthPath());
    }
}

bool ProxiedRequest::waitForVerdict(const char *failure)
{
    // Most verdicts take less; a caller that waits longer has less time for a repeat that helps.
    constexpr Duration kMaxVerdictWait = std::chrono::milliseconds(800);
    if (m_ended || !m_context.crashes.isUndecided(m_fingerprint))
        return false;
    const IntrusivePtr<ProxiedRequest> self(this);
    const auto end = [self, failure] {
        if (!self->m_ended)
            self->fail(httpstatus::kBadGateway, failure);
    };
    m_verdictTimer = m_context.timers.after(kMaxVerdictWait, end);
    m_context.crashes.whenDecided(m_fingerprint, end);
    return true;
}

bool ProxiedRequest::provesRun(const HttpResponse &response, const ResponseMetadata &metadata)
{
    return metadata.sealed && response.status < httpstatus::kFirstServerError;
}

bool ProxiedRequest::mayTryAgain() const
{
    // A request that has crashed a target might crash the next one.
    return !m_ended && !m_context.crashes.isSuspected(m_fingerprint)
           && !m_context.crashes.isRefused(m_fingerprint) && !m_callerDisconnected
           && m_attempts < m_route.maxAttempts && m_context.clock.now() < m_queuedRequest.deadline;
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
