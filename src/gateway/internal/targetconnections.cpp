#include "gateway/internal/targetconnections.h"

#include "http/httpserialization.h"

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

// Maximum idle time of reused connections. It is short for a request that must not be sent twice,
// since the target may close an idle connection while the request is in flight.
constexpr Duration kIdleLimitAtMostOnce = milliseconds(1500);
constexpr Duration kIdleLimitIdempotent = milliseconds(4500);
constexpr Duration kProbeTimeout = milliseconds(250);
constexpr ClientConnectionOptions kProbeOptions{ kProbeTimeout, kProbeTimeout, {} };

} // namespace

TargetConnections::TargetConnections(asio::io_context &context, ITimerService &timers,
                                     const IClock &clock, TargetRecord record)
    : m_timers(timers)
    , m_record(std::move(record))
    , m_connections(context, timers, clock, m_record.address, {})
    , m_probeConnections(context, timers, clock, m_record.address, kProbeOptions)
{}

TargetConnections::~TargetConnections()
{
    if (m_probeConnection)
        m_probeConnection->close();
}

IntrusivePtr<HttpClientConnection>
TargetConnections::acquireConnection(ExecutionSemantics executionSemantics)
{
    const bool idempotent = executionSemantics == ExecutionSemantics::Idempotent;
    return m_connections.acquire(idempotent ? kIdleLimitIdempotent : kIdleLimitAtMostOnce);
}

void TargetConnections::releaseConnection(const IntrusivePtr<HttpClientConnection> &connection)
{
    m_connections.release(connection);
}

void TargetConnections::closeIdle()
{
    m_connections.closeIdle(kIdleLimitIdempotent);
    m_probeConnections.closeIdle(kIdleLimitIdempotent);
}

void TargetConnections::probe(const std::string &healthPath,
                              std::function<void(const HttpResponse *)> done)
{
    if (m_probeDone)
        return;
    m_probeDone = std::move(done);
    m_probeConnection = m_probeConnections.acquire(kIdleLimitIdempotent);
    const IntrusivePtr<TargetConnections> self(this);
    m_probeTimer = m_timers.after(kProbeTimeout, [self] { self->endProbe(nullptr); });
    const HttpRequest request{ "GET", healthPath, { { "Host", m_record.address.toString() } }, {} };
    m_probeConnection->send(serializeRequest(request), false, nullptr,
                            [self](TransferResult result, const HttpResponse &response) {
                                const bool answered = result == TransferResult::Answered;
                                self->endProbe(answered ? &response : nullptr);
                            });
}

void TargetConnections::endProbe(const HttpResponse *response)
{
    const IntrusivePtr<TargetConnections> self(this);
    const TimerSubscription timer = std::move(m_probeTimer);
    if (response)
        m_probeConnections.release(m_probeConnection);
    else
        m_probeConnection->close();
    m_probeConnection = nullptr;
    const auto done = std::move(m_probeDone);
    m_probeDone = nullptr;
    if (done)
        done(response);
}

} // namespace lycheebay
