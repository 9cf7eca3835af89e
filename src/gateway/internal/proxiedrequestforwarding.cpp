#include "gateway/internal/proxiedrequest.h"
#include "http/httpstatus.h"

namespace lycheebay {

bool ProxiedRequest::forward(ForwardReason reason)
{
    // One hop only: instances whose configurations differ must not pass a request back and forth.
    if (m_isForwarded || m_attempts > 0)
        return false;
    const ForwardRequest wanted{ reason, m_route.homeRegions, m_forwarder->refusedBy(),
                                 m_queuedRequest.objective - m_dispatcher.baselineServiceTime() };
    const IntrusivePtr<ProxiedRequest> self(this);
    m_forwardReason = reason;
    m_exchange->setInUse();
    return m_forwarder->start(
            endToEndRequest(), body(), wanted, m_queuedRequest.deadline,
            [self](ForwardOutcome outcome, HttpResponse response, Duration retryAfter) {
                self->forwardEnded(outcome, std::move(response), retryAfter);
            });
}

void ProxiedRequest::stay()
{
    m_queuedRequest.mayLeave = false;
    enqueue();
}

void ProxiedRequest::forwardEnded(ForwardOutcome outcome, HttpResponse response,
                                  Duration retryAfter)
{
    if (m_ended)
        return;
    switch (outcome) {
    case ForwardOutcome::Response: {
        m_executionState = ExecutionState::MayHaveRun;
        const ResponseMetadata metadata = m_context.protocol.readResponseMetadata(response);
        if (provesRun(response, metadata))
            m_context.crashes.recordResponse(m_fingerprint);
        if (const std::string *key = findHeader(response.headers, kLeavingTargetHeader)) {
            m_context.leavingTargets.record(*key);
            removeHeader(response.headers, kLeavingTargetHeader);
        }
        if (response.status < httpstatus::kFirstError && !metadata.sealed) {
            fail(httpstatus::kBadGateway, "unsealed_answer");
            return;
        }
        deliver(std::move(response));
        return;
    }
    case ForwardOutcome::NotRun:
        if (mustForward(m_forwardReason))
            refuse("no_dispatcher", retryAfter);
        else
            stay();
        return;
    case ForwardOutcome::Rejected:
        refuse("target_refused", retryAfter);
        return;
    case ForwardOutcome::NotSent:
        stay();
        return;
    case ForwardOutcome::Unknown:
        m_executionState = ExecutionState::MayHaveRun;
        fail(httpstatus::kBadGateway, "forward_failed");
        return;
    }
}

void ProxiedRequest::countPlacement()
{
    m_context.overflow.countPlaced();
    const std::string origin = overflowOrigin(m_exchange->request());
    if (!origin.empty() && origin != m_context.region)
        m_context.overflow.countReceived(origin);
}

void ProxiedRequest::abandonForwarding()
{
    if (!m_forwarder->isActive())
        return;
    m_executionState = ExecutionState::MayHaveRun;
    m_forwarder->cancel();
}

} // namespace lycheebay
