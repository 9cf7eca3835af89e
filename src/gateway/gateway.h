#pragma once

#include "gateway/dispatchplan.h"
#include "gateway/gatewayblackboard.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/servicedispatcher.h"
#include "gateway/shutdownplan.h"
#include "http/httplistener.h"

#include <memory>
#include <optional>

namespace lycheebay {

/// Settings of one gateway instance.
struct GatewaySettings
{
    /// Id of this instance, as in the instance list.
    std::string instanceId;
    std::string region;
    std::string failureDomain;
    /// The region of each failure domain.
    DomainRegions regions;
    RetryBudget retryBudget;
    ServicePoolSettings pool;
    /// Time between the stop signal and the forced end.
    Duration gracePeriod = std::chrono::seconds(6);
    std::size_t maxCallerConnections = 2000;
    /// Decisions logged a second; further ones are only counted.
    int maxLogLinesPerSecond = 300;
};

/// Keeps the target list recent on instances that rarely need it. Not thread-safe: use it on the
/// event loop.
class ITargetListRefresher
{
public:
    virtual ~ITargetListRefresher() = default;

    /// Calls \a done once the list is recent, or cannot be made so in a short time; possibly before
    /// it returns.
    virtual void whenUpToDate(std::function<void()> done) = 0;
    /// Tells that this instance serves requests, so that the list should be kept recent.
    virtual void markInUse() = 0;
};

/// The request path of one instance: finds the route of each request, passes it to a target of the
/// route's service, and tells callers which instances to use. Reads its surroundings from the
/// blackboard. Not thread-safe: use it on its event loop, on which the blackboard's topics must be
/// published too.
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

    /// Starts to serve callers. Errors: Unavailable, naming the address.
    absl::Status start(const Address &address);

    /// Replaces bounds that may change while the instance runs.
    void updateSettings(const RetryBudget &retryBudget, Duration gracePeriod);

    /// Sets what keeps the target list recent; without one the list is used as it is.
    void setTargetListRefresher(ITargetListRefresher *refresher) { m_refresher = refresher; }

    /// True if requests can be served: a configuration is known and the instance does not leave.
    bool isReady() const;

    /// Returns the addresses that a caller should use; empty if none are known.
    std::vector<Address> addressesFor(const AddressQuery &query);

    /// Starts to leave: the instance serves on, accepts only what can end in time, and closes
    /// connections after their responses.
    void beginShutdown();
    bool isShuttingDown() const { return m_shutdown.has_value(); }
    /// True if the process of an instance that leaves should end.
    bool shouldExit() const;

    /// Port that callers connect to. Precondition: start() succeeded.
    std::uint16_t port() const { return m_listener.port(); }

private:
    void handle(const IntrusivePtr<HttpExchange> &exchange);
    void proxy(const IntrusivePtr<HttpExchange> &exchange);
    /// Returns how long a caller waited in earlier attempts, judged by the deadline that is left.
    Duration previousWait(const Route &route, const RequestMetadata &metadata);
    void refuse(HttpExchange &exchange, int status, const char *reason,
                const RequestMetadata &metadata);
    void configurationChanged(const IntrusivePtr<const GatewayConfiguration> &configuration);
    void configureDispatchers();
    std::vector<PoolTarget> poolTargets(const std::string &service) const;
    void invalidateAddressCache() { m_addressCache.clear(); }
    ServiceDispatcher &dispatcherOf(const std::string &service, const Route &route);
    Proximity proximityOf(const std::string &failureDomain) const;

    GatewaySettings m_settings;
    GatewayBlackboard &m_blackboard;
    GatewayMetrics &m_metrics;
    DecisionLog m_log;
    GatewayContext m_context;
    HttpListener m_listener;
    ITargetListRefresher *m_refresher = nullptr;
    StringMap<std::unique_ptr<ServiceDispatcher>> m_dispatchers;
    /// Longest deadline that callers of a route gave; those who come back have less left.
    StringMap<Duration> m_longestDeadlines;
    /// By host and region of the caller, as long as nothing changes.
    StringMap<std::vector<AddressCandidate>> m_addressCache;
    TimePoint m_startedAt;
    TimerSubscription m_coldTargetHoldOffTimer;
    std::optional<ShutdownPlan> m_shutdown;
};

} // namespace lycheebay
