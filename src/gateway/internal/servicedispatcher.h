#pragma once

#include "base/stringmap.h"
#include "gateway/internal/backendlink.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/retrywindow.h"
#include "gateway/servicepool.h"

#include <unordered_map>

namespace lycheebay {

/// A request that waits in a ServiceDispatcher.
class IDispatchedRequest
{
public:
    virtual ~IDispatchedRequest() = default;

    /// The request got a target; \a link carries it there.
    virtual void placed(const Placement &placement, const IntrusivePtr<BackendLink> &link) = 0;
    /// The request gets no target.
    virtual void refused(const Refusal &refusal) = 0;
};

/// Carries out the decisions of a ServicePool: hands targets to requests, sends probes, and calls
/// the pool again when something changed. Not thread-safe: use it on the event loop.
class ServiceDispatcher final
{
public:
    ServiceDispatcher(GatewayContext &context, const ServicePoolSettings &settings,
                      std::string service, Duration targetLatency);
    ~ServiceDispatcher();
    ServiceDispatcher(const ServiceDispatcher &) = delete;
    ServiceDispatcher &operator=(const ServiceDispatcher &) = delete;

    /// \a ownershipCertain is false while this instance may not see the other dispatchers yet.
    void configure(const ServiceProperties &properties, const std::vector<PoolTarget> &targets,
                   bool ownershipCertain);

    /// Queues a request. Precondition: \a request lives until it was placed, refused or cancelled.
    void submit(const Ticket &ticket, IDispatchedRequest &request);
    void cancel(TicketId ticket);
    /// Ends an attempt that was placed, with the signals of its response if there is one.
    void finish(const std::string &key, AttemptVerdict verdict, std::optional<Duration> elapsed,
                const ResponseMetadata &signals);

    RetryWindow &retries() { return m_retries; }
    const std::string &service() const { return m_service; }
    TicketId nextTicketId() { return ++m_lastTicket; }

private:
    void run();
    void runSoon();
    void carryOut(const PoolDecisions &decisions);
    void probe(const TargetRecord &target);
    void noteSignals(const std::string &key, const ResponseMetadata &signals);
    bool isActive() const;

    GatewayContext &m_context;
    const std::string m_service;
    std::string m_healthPath;
    ServicePool m_pool;
    RetryWindow m_retries;
    StringMap<IntrusivePtr<BackendLink>> m_links;
    std::unordered_map<TicketId, IDispatchedRequest *> m_requests;
    TicketId m_lastTicket = 0;
    TimerSubscription m_checkTimer;
    TimerSubscription m_soonTimer;
    TimerSubscription m_idleTimer;
    TimePoint m_lastRequestAt;
    bool m_running = false;
    bool m_runAgain = false;
};

} // namespace lycheebay
