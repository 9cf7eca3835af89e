#pragma once

#include "gateway/dispatchplan.h"
#include "gateway/gatewayblackboard.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/instanceconnections.h"
#include "gateway/internal/servicedispatcher.h"
#include "gateway/shutdownplan.h"
#include "http/httplistener.h"

#include <memory>
#include <optional>

namespace lycheebay {

struct GatewaySettings
{
    /// Id of this instance in the published InstanceList.
    std::string instanceId;
    std::string region;
    std::string failureDomain;
    DomainRegions regions;
    RetryBudget retryBudget;
    ServicePoolSettings pool;
    /// Time between the stop signal and the forced termination of the process.
    Duration gracePeriod = std::chrono::seconds(6);
    /// Connections of callers that are served; further callers are refused.
    std::size_t maxCallerConnections = 2000;
    /// Bytes that requests, and responses that wait for their callers, may take together; see
    /// CallerMemory.
    std::size_t maxCallerMemory = 64UL << 20U;
    /// Bytes that responses which are not complete may take together; see ResponseMemory.
    std::size_t maxResponseMemory = 64UL << 20U;
    /// Log lines for request decisions per second; lines above the limit are only counted.
    int maxLogLinesPerSecond = 300;
};

/// Keeps the target list up to date on instances that rarely need it. Not thread-safe: use it on
/// the event loop.
class ITargetListRefresher
{
public:
    virtual ~ITargetListRefresher() = default;

    /// Calls \a done when the list is up to date or cannot be refreshed in a short time. May call
    /// it before returning.
    virtual void whenUpToDate(std::function<void()> done) = 0;
    /// Reports that this instance serves requests, so that the list is kept up to date.
    virtual void markInUse() = 0;
};

/// Request path of one instance. Matches each request to a route, forwards it to a target of one of
/// the route's services, and tells callers which instances to connect to. Reads configuration,
/// targets and instances from the blackboard. Not thread-safe: use it on its event loop, on which
/// the topics of the blackboard must be published too.
class Gateway final
{
public:
    /// Precondition: all references outlive the gateway.
    Gateway(asio::io_context &context, ITimerService &timers, const IClock &clock,
            IRandomSource &random, const ITargetProtocol &protocol, GatewayBlackboard &blackboard,
            GatewayMetrics &metrics, GatewaySettings settings);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Starts listening for callers. Errors: Unavailable if the address cannot be bound; the
    /// message contains the address.
    absl::Status start(const Address &address);

    /// Replaces the settings that can change while the instance runs.
    void updateSettings(const RetryBudget &retryBudget, Duration gracePeriod);

    /// Sets the refresher that is asked before each request. Without one, or with null, requests
    /// use the published list.
    void setTargetListRefresher(ITargetListRefresher *refresher) { m_refresher = refresher; }

    /// True if a configuration has been published and the instance is not shutting down.
    bool isReady() const;

    /// Returns the instance addresses that a caller should connect to; empty if none are known.
    std::vector<Address> addressesFor(const AddressQuery &query);

    /// Starts a graceful shutdown: the instance keeps serving, accepts only requests that can
    /// complete within the grace period, and closes each connection after its response.
    void beginShutdown();
    bool isShuttingDown() const { return m_shutdown.has_value(); }
    /// True if the instance is shutting down and its process should exit.
    bool shouldExit() const;

    /// Returns the port that callers connect to. Precondition: start() succeeded.
    std::uint16_t port() const { return m_listener.port(); }

private:
    void handle(const IntrusivePtr<HttpExchange> &exchange);
    /// Time that the body of a request may take: as long as the caller waits for the response.
    Duration bodyTime(const HttpRequest &head) const;
    void proxy(const IntrusivePtr<HttpExchange> &exchange);
    /// Estimates how long the caller has waited in earlier tries from how much shorter its deadline
    /// is than the longest one seen for the route.
    Duration previousWait(const Route &route, const RequestMetadata &metadata);
    void refuse(HttpExchange &exchange, int status, const char *reason);
    /// Logs and counts a refusal and returns its response.
    HttpResponse refusal(const HttpRequest &request, int status, const char *reason);
    /// Draws whether the caller stays in its region although part of its requests must leave it.
    bool staysInRegion(const GatewayConfiguration &configuration, const AddressQuery &query);
    void configurationChanged(const IntrusivePtr<const GatewayConfiguration> &configuration);
    void configureDispatchers();
    /// Configures the dispatchers soon, once for several changes at a time.
    void scheduleConfiguration();
    void invalidateAddressCache() { m_addressCache.clear(); }
    ServiceDispatcher &dispatcherOf(const std::string &service, const Route &route);

    GatewaySettings m_settings;
    GatewayBlackboard &m_blackboard;
    GatewayMetrics &m_metrics;
    DecisionLog m_log;
    OverflowCounter m_overflow;
    CrashMonitor m_crashes;
    LeavingTargets m_leavingTargets;
    ProxiedRequestList m_requests;
    GatewayContext m_context;
    InstanceConnections m_instanceConnections;
    HttpListener m_listener;
    ITargetListRefresher *m_refresher = nullptr;
    StringMap<std::unique_ptr<ServiceDispatcher>> m_dispatchers;
    /// Longest deadline seen for each route. A caller that retries sends the remaining, shorter
    /// one.
    StringMap<Duration> m_longestDeadlines;
    /// Candidates by host, failure domain and region of the caller. Cleared by each change of the
    /// blackboard.
    StringMap<std::vector<AddressCandidate>> m_addressCache;
    /// The published targets, with those that have said so marked as leaving.
    IntrusivePtr<const TargetList> m_targets;
    TimePoint m_startedAt;
    TimerSubscription m_coldTargetHoldOffTimer;
    TimerSubscription m_reconfigurationTimer;
    TimerSubscription m_idleConnectionTimer;
    TimerSubscription m_overflowTimer;
    std::optional<ShutdownPlan> m_shutdown;
};

} // namespace lycheebay
