#pragma once

#include "gateway/estateview.h"
#include "gateway/gatewayconfiguration.h"
#include "http/httpconnectionpool.h"

namespace lycheebay {

/// The connections of this instance to one target incarnation. Not thread-safe: use it on its event
/// loop.
class TargetConnections final : public RefCounted
{
public:
    TargetConnections(asio::io_context &context, ITimerService &timers, const IClock &clock,
                      TargetRecord record);
    ~TargetConnections() override;
    TargetConnections(const TargetConnections &) = delete;
    TargetConnections &operator=(const TargetConnections &) = delete;

    const TargetRecord &record() const { return m_record; }

    /// Returns an idle connection that is safe to use again for such a request, or a new one. Give
    /// it back with releaseConnection().
    IntrusivePtr<HttpClientConnection> acquireConnection(ExecutionSemantics executionSemantics);
    /// Takes back a connection that carries no exchange.
    void releaseConnection(const IntrusivePtr<HttpClientConnection> &connection);
    /// Closes idle connections that were not used for long.
    void closeIdle();

    /// Probes the target's health path on a connection of its own. \a done gets no response if none
    /// came in time. A call while a probe runs does nothing.
    void probe(const std::string &healthPath, std::function<void(const HttpResponse *)> done);

private:
    void endProbe(const HttpResponse *response);

    ITimerService &m_timers;
    const TargetRecord m_record;
    HttpConnectionPool m_connections;
    HttpConnectionPool m_probeConnections;
    IntrusivePtr<HttpClientConnection> m_probeConnection;
    TimerSubscription m_probeTimer;
    std::function<void(const HttpResponse *)> m_probeDone;
};

} // namespace lycheebay
