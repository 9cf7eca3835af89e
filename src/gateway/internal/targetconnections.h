#pragma once

#include "gateway/estateview.h"
#include "gateway/gatewayconfiguration.h"
#include "http/httpconnectionpool.h"

namespace lycheebay {

/// Connection pools for the requests and health probes to one target incarnation. Not thread-safe:
/// use it on the event loop.
class TargetConnections final : public RefCounted
{
public:
    TargetConnections(asio::io_context &context, ITimerService &timers, const IClock &clock,
                      TargetRecord record);
    ~TargetConnections() override;
    TargetConnections(const TargetConnections &) = delete;
    TargetConnections &operator=(const TargetConnections &) = delete;

    const TargetRecord &record() const { return m_record; }

    /// Reports that the target has answered a request.
    void recordAnswer(TimePoint now) { m_lastAnswerAt = now; }
    /// When the target answered a request or probe last; the epoch if it never did.
    TimePoint lastAnswerAt() const { return m_lastAnswerAt; }

    /// Returns a new connection, or an idle one that may be reused for a request with the given
    /// execution semantics. Return it with releaseConnection().
    IntrusivePtr<HttpClientConnection> acquireConnection(ExecutionSemantics executionSemantics);
    /// Returns a connection to the pool. Precondition: it has no request in flight.
    void releaseConnection(const IntrusivePtr<HttpClientConnection> &connection);
    /// Closes connections that have been idle for too long.
    void closeIdle();

    /// Sends a probe to the target's health path, on a connection that no request uses. \a done
    /// gets null if no response arrives in time. Does nothing, and does not call \a done, while
    /// another probe is in flight.
    void probe(const std::string &healthPath, std::function<void(const HttpResponse *)> done);

private:
    void endProbe(const HttpResponse *response);

    ITimerService &m_timers;
    const TargetRecord m_record;
    TimePoint m_lastAnswerAt;
    HttpConnectionPool m_connections;
    HttpConnectionPool m_probeConnections;
    IntrusivePtr<HttpClientConnection> m_probeConnection;
    TimerSubscription m_probeTimer;
    std::function<void(const HttpResponse *)> m_probeDone;
};

} // namespace lycheebay
