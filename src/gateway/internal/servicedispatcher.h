#pragma once

#include "base/stringmap.h"
#include "gateway/dispatcherselector.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/targetconnections.h"
#include "gateway/retrylimiter.h"
#include "gateway/servicepool.h"

#include <unordered_map>

namespace lycheebay {

/// Receives the decision about a request that was submitted to a ServiceDispatcher.
class IDispatchedRequest
{
public:
    virtual ~IDispatchedRequest() = default;

    /// Called when the request was assigned to a target; it is sent over \a connections.
    virtual void onPlaced(const Placement &placement,
                          const IntrusivePtr<TargetConnections> &connections) = 0;
    /// Called when the request was refused.
    virtual void onRefused(const Refusal &refusal) = 0;
};

/// Applies the decisions of a ServicePool: notifies placed and refused requests, sends probes, and
/// calls the pool again when its state changes. Not thread-safe: use it on the event loop.
class ServiceDispatcher final
{
public:
    ServiceDispatcher(GatewayContext &context, const ServicePoolSettings &settings,
                      std::string service, Duration targetLatency);
    ~ServiceDispatcher();
    ServiceDispatcher(const ServiceDispatcher &) = delete;
    ServiceDispatcher &operator=(const ServiceDispatcher &) = delete;

    /// \a ownershipKnown is false while this instance may not know all other dispatchers yet.
    void configure(const ServiceProperties &properties, const std::vector<PoolTarget> &targets,
                   const std::vector<RemoteDispatcher> &dispatchers, bool ownershipKnown);

    /// Queues a request. Precondition: \a request lives until it is placed, refused or cancelled.
    void submit(const QueuedRequest &queued, IDispatchedRequest &request);
    void cancel(QueuedRequestId id);
    /// Reports the end of an attempt that was placed. \a metadata is that of its response, if any.
    void finish(const std::string &key, AttemptResult result, std::optional<Duration> elapsed,
                const ResponseMetadata &metadata);

    RetryLimiter &retryLimiter() { return m_retryLimiter; }
    /// The other dispatchers of the service.
    DispatcherSelector &dispatcherSelector() { return m_dispatcherSelector; }
    /// Service time of a warm target at its usual speed.
    Duration baselineServiceTime() const { return m_pool.baselineServiceTime(); }
    const std::string &healthPath() const { return m_healthPath; }
    const std::string &service() const { return m_service; }
    QueuedRequestId nextRequestId() { return ++m_lastRequestId; }

private:
    void run();
    void scheduleRun();
    void apply(const PoolDecisions &decisions);
    void probe(const TargetRecord &target);
    void applyMetadata(const std::string &key, const ResponseMetadata &metadata);
    void pauseTarget(const std::string &key, Duration pause);
    void updateRequestLimit(const std::string &key, std::optional<double> perSecond);
    bool isActive() const;

    GatewayContext &m_context;
    const std::string m_service;
    std::string m_healthPath;
    ServicePool m_pool;
    RetryLimiter m_retryLimiter;
    DispatcherSelector m_dispatcherSelector;
    StringMap<IntrusivePtr<TargetConnections>> m_targetConnections;
    std::unordered_map<QueuedRequestId, IDispatchedRequest *> m_requests;
    QueuedRequestId m_lastRequestId = 0;
    TimerSubscription m_checkTimer;
    TimerSubscription m_runTimer;
    TimerSubscription m_idleTimer;
    TimePoint m_lastRequestAt;
    bool m_running = false;
    bool m_runAgain = false;
};

} // namespace lycheebay
