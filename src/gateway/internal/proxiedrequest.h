#pragma once

#include "gateway/internal/servicedispatcher.h"
#include "http/httplistener.h"

namespace lycheebay {

/// One request of a caller from its arrival to its response: waits for a target, sends attempts,
/// and answers. It never sends a request again that may have run and must not run twice.
/// Not thread-safe: use it on the event loop.
class ProxiedRequest final : public RefCounted, public IDispatchedRequest
{
public:
    /// Precondition: \a route belongs to \a configuration.
    ProxiedRequest(GatewayContext &context, IntrusivePtr<HttpExchange> exchange,
                   IntrusivePtr<const GatewayConfiguration> configuration, const Route &route,
                   ServiceDispatcher &dispatcher, const CallerTerms &terms);

    void start();

    void placed(const Placement &placement, const IntrusivePtr<BackendLink> &link) override;
    void refused(const Refusal &refusal) override;

private:
    /// What is known of the runs of this request.
    enum class RunState { NotRun, MayHaveRun };

    void queue();
    void sendAttempt(const Placement &placement);
    HttpRequest attemptRequest(Duration remaining) const;
    void attemptEnded(TransferResult result, HttpResponse response);
    void handleResponse(HttpResponse response, const TargetSignals &signals, Duration elapsed);
    void handleNotRun(HttpResponse response, const TargetSignals &signals);
    void handleFailure(AttemptVerdict verdict, const char *what);
    void attemptTimedOut();
    void giveUp();
    void callerGone();
    bool mayTryAgain() const;
    bool tryAgain(const char *why);
    void finishAttempt(AttemptVerdict verdict, std::optional<Duration> elapsed,
                       const TargetSignals &signals = {});
    void dropConnection();
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
    const CallerTerms m_terms;
    Ticket m_ticket;
    TimerSubscription m_giveUpTimer;
    TimerSubscription m_attemptTimer;
    IntrusivePtr<BackendLink> m_link;
    IntrusivePtr<HttpClientConnection> m_connection;
    TimePoint m_sentAt;
    Duration m_expected{};
    RunState m_runState = RunState::NotRun;
    int m_attempts = 0;
    bool m_queued = false;
    bool m_callerGone = false;
    bool m_ended = false;
};

} // namespace lycheebay
