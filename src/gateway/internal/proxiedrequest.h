#pragma once

#include "gateway/internal/servicedispatcher.h"
#include "http/httplistener.h"

namespace lycheebay {

/// One sending of a request to a target.
struct ProxyAttempt final : RefCounted
{
    IntrusivePtr<BackendLink> link;
    IntrusivePtr<HttpClientConnection> connection;
    TimePoint sentAt;
    /// Time that the work was expected to take.
    Duration expected{};
    TimerSubscription patienceTimer;
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
                   ServiceDispatcher &dispatcher, const RequestMetadata &terms,
                   Duration waitedBefore);

    void start();

    void placed(const Placement &placement, const IntrusivePtr<BackendLink> &link) override;
    void refused(const Refusal &refusal) override;

private:
    using AttemptPtr = IntrusivePtr<ProxyAttempt>;

    /// What is known of the runs of this request.
    enum class RunState { NotRun, MayHaveRun };

    void queue();
    void leaveQueue();
    void send(const AttemptPtr &attempt);
    HttpRequest attemptRequest(const TargetRecord &target, Duration remaining) const;
    void transferEnded(const AttemptPtr &attempt, TransferResult result, HttpResponse response);
    void handleResponse(const AttemptPtr &attempt, HttpResponse response,
                        const ResponseMetadata &signals);
    void handleNotRun(const AttemptPtr &attempt, HttpResponse response,
                      const ResponseMetadata &signals);
    void handleFailure(const char *what);
    void patienceEnded(const AttemptPtr &attempt);
    void giveUp();
    void callerGone();
    bool isIdempotent() const
    {
        return m_route.executionSemantics == ExecutionSemantics::Idempotent;
    }
    bool mayTryAgain() const;
    bool tryAgain(const char *why);
    /// True while an answer may still come.
    bool isPending() const { return m_queued || !m_active.empty(); }
    void finishAttempt(const AttemptPtr &attempt, AttemptVerdict verdict,
                       std::optional<Duration> elapsed, const ResponseMetadata &signals = {});
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
    const RequestMetadata m_terms;
    Ticket m_ticket;
    TimerSubscription m_giveUpTimer;
    std::vector<AttemptPtr> m_active;
    RunState m_runState = RunState::NotRun;
    int m_attempts = 0;
    bool m_queued = false;
    bool m_callerGone = false;
    bool m_ended = false;
};

} // namespace lycheebay
