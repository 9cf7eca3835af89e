#pragma once

#include "gateway/internal/servicedispatcher.h"
#include "http/httplistener.h"

namespace lycheebay {

/// One sending of a request to a target.
struct ProxyAttempt final : RefCounted
{
    IntrusivePtr<TargetConnections> link;
    IntrusivePtr<HttpClientConnection> connection;
    TimePoint sentAt;
    /// Time that the work was expected to take.
    Duration expected{};
    TimerSubscription hedgeTimer;
    bool ended = false;
};

/// One request of a caller from its arrival to its response: waits for a target, sends attempts,
/// and answers. It never sends a request again that may have run and must not run twice. While an
/// idempotent request waits unusually long for its answer, a second target is asked too, and the
/// first answer counts. Not thread-safe: use it on the event loop.
class ProxiedRequest final : public RefCounted, public IDispatchedRequest
{
public:
    /// \a waitedBefore is how long the caller waited in earlier attempts. Precondition: \a route
    /// belongs to \a configuration.
    ProxiedRequest(GatewayContext &context, IntrusivePtr<HttpExchange> exchange,
                   IntrusivePtr<const GatewayConfiguration> configuration, const Route &route,
                   ServiceDispatcher &dispatcher, const RequestMetadata &metadata,
                   Duration previousWait);

    void start();

    void onPlaced(const Placement &placement, const IntrusivePtr<TargetConnections> &link) override;
    void onRefused(const Refusal &refusal) override;

private:
    using AttemptPtr = IntrusivePtr<ProxyAttempt>;

    /// What is known of the runs of this request.
    enum class ExecutionState { NotRun, MayHaveRun };

    void enqueue();
    void leaveQueue();
    void send(const AttemptPtr &attempt);
    HttpRequest attemptRequest(const TargetRecord &target, Duration remaining) const;
    void transferEnded(const AttemptPtr &attempt, TransferResult result, HttpResponse response);
    void handleResponse(const AttemptPtr &attempt, HttpResponse response,
                        const ResponseMetadata &metadata);
    void handleNotRun(const AttemptPtr &attempt, HttpResponse response,
                      const ResponseMetadata &metadata);
    void handleFailure(const char *what);
    void hedgeDelayEnded(const AttemptPtr &attempt);
    void deadlineExpired();
    void callerDisconnected();
    bool isIdempotent() const
    {
        return m_route.executionSemantics == ExecutionSemantics::Idempotent;
    }
    bool mayTryAgain() const;
    bool tryAgain(const char *why);
    /// True while an answer may still come.
    bool isPending() const { return m_queued || !m_active.empty(); }
    void finishAttempt(const AttemptPtr &attempt, AttemptResult result,
                       std::optional<Duration> elapsed, const ResponseMetadata &metadata = {});
    void abandonAttempts();
    void deliver(HttpResponse response);
    void refuse(const char *reason, Duration retryAfter);
    void fail(int status, const char *reason);
    void answer(const HttpResponse &response, const char *outcome);
    void end();
    Duration elapsedSince(TimePoint start) const { return m_context.clock.now() - start; }
    LogFields logFields(const char *event) const;

    GatewayContext &m_context;
    const IntrusivePtr<HttpExchange> m_exchange;
    const IntrusivePtr<const GatewayConfiguration> m_configuration;
    const Route &m_route;
    ServiceDispatcher &m_dispatcher;
    const RequestMetadata m_requestMetadata;
    QueuedRequest m_queuedRequest;
    TimerSubscription m_deadlineTimer;
    std::vector<AttemptPtr> m_active;
    ExecutionState m_executionState = ExecutionState::NotRun;
    int m_attempts = 0;
    bool m_queued = false;
    bool m_callerDisconnected = false;
    bool m_ended = false;
};

} // namespace lycheebay
