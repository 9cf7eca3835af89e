#include "gateway/gateway.h"

#include "gateway/dispatcherview.h"
#include "gateway/internal/proxiedrequest.h"
#include "gateway/routetable.h"
#include "http/httpserialization.h"
#include "http/httpstatus.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheebay {

namespace {

// Retry-After in seconds while the instance has no configuration or is shutting down.
constexpr char kRetryAfterSeconds[] = "0.2";
// An instance that has just started may not know the other instances yet. During this time it sends
// nothing to cold targets, since the actual owner's requests would come on top.
constexpr Duration kColdTargetHoldOff = std::chrono::seconds(4);
constexpr std::size_t kMaxCachedAddressQueries = 1000;
// Longest query that is cached: a host name (RFC 1035, 2.3.4), a failure domain and a region.
constexpr std::size_t kMaxCachedQueryBytes = 512;
// Connections over the limit, as a fraction of it. They last for one refusal.
constexpr std::size_t kOverLimitDivisor = 8;
constexpr Duration kOverflowReportPeriod = std::chrono::milliseconds(250);
constexpr Duration kIdleConnectionCheckPeriod = std::chrono::milliseconds(500);

} // namespace

Gateway::Gateway(asio::io_context &context, ITimerService &timers, const IClock &clock,
                 IRandomSource &random, const ITargetProtocol &protocol,
                 GatewayBlackboard &blackboard, GatewayMetrics &metrics, GatewaySettings settings)
    : m_settings(std::move(settings))
    , m_blackboard(blackboard)
    , m_metrics(metrics)
    , m_log(clock, m_settings.maxLogLinesPerSecond)
    , m_crashes(context, timers, clock, protocol, blackboard, metrics, m_log)
    , m_leavingTargets(clock, blackboard, m_log, [this] { scheduleConfiguration(); })
    , m_context{ context, timers,     clock,     random,           protocol,   metrics,
                 m_log,   m_overflow, m_crashes, m_leavingTargets, m_requests, m_settings.region }
    , m_instanceConnections(context, timers, clock)
    , m_listener(context, timers, clock,
                 [this](const IntrusivePtr<HttpExchange> &exchange) { handle(exchange); })
    , m_startedAt(clock.now())
{
    asio::use_service<ResponseMemory>(context).setLimit(m_settings.maxResponseMemory);
    asio::use_service<CallerMemory>(context).setLimit(m_settings.maxCallerMemory);
    m_listener.setBodyTime([this](const HttpRequest &head) { return bodyTime(head); });
    m_listener.setRefusalWriter([this](const HttpRequest &request, int status, const char *reason) {
        return refusal(request, status, reason);
    });
    m_blackboard.configuration.subscribe(
            [this](const IntrusivePtr<const GatewayConfiguration> &it) {
                configurationChanged(it);
            });
    m_blackboard.targets.subscribe([this](const auto &) { configureDispatchers(); });
    m_blackboard.drainedDomains.subscribe([this](const auto &) { configureDispatchers(); });
    m_blackboard.instances.subscribe([this](const auto &) { configureDispatchers(); });
    m_coldTargetHoldOffTimer = timers.after(kColdTargetHoldOff, [this] { configureDispatchers(); });
    m_idleConnectionTimer =
            timers.every(kIdleConnectionCheckPeriod, [this] { m_instanceConnections.closeIdle(); });
    m_overflowTimer = timers.every(kOverflowReportPeriod, [this] {
        if (auto counts = m_overflow.take())
            m_blackboard.overflow.publish(std::move(counts));
    });
}

Gateway::~Gateway() = default;

absl::Status Gateway::start(const Address &address)
{
    HttpListenerLimits limits;
    limits.connections = m_settings.maxCallerConnections;
    limits.overLimit = m_settings.maxCallerConnections / kOverLimitDivisor;
    m_listener.setLimits(limits);
    return m_listener.start(address);
}

void Gateway::updateSettings(const RetryBudget &retryBudget, Duration gracePeriod)
{
    m_settings.retryBudget = retryBudget;
    m_settings.gracePeriod = gracePeriod;
    configureDispatchers();
}

bool Gateway::isReady() const
{
    return !m_shutdown && m_blackboard.configuration.read();
}

void Gateway::beginShutdown()
{
    if (m_shutdown)
        return;
    m_shutdown.emplace(m_context.clock.now(), m_settings.gracePeriod);
    m_listener.closeAfterResponses();
    // A request may end, and with it others, while its deadline is set.
    std::vector<IntrusivePtr<ProxiedRequest>> requests;
    for (ProxiedRequest *it = m_requests.front(); it; it = m_requests.next(it))
        requests.emplace_back(it);
    for (const IntrusivePtr<ProxiedRequest> &it : requests)
        it->endBy(m_shutdown->lastAnswerAt());
}

bool Gateway::shouldExit() const
{
    return m_shutdown
           && m_shutdown->shouldExit(m_context.clock.now(), m_listener.pendingCount(),
                                     m_listener.connectionCount());
}

void Gateway::handle(const IntrusivePtr<HttpExchange> &exchange)
{
    if (exchange->isOverLimit()) {
        refuse(*exchange, httpstatus::kUnavailable, "too_many_connections");
        return;
    }
    // During a shutdown there is no time to wait for an up-to-date list.
    if (!m_refresher || m_shutdown) {
        proxy(exchange);
        return;
    }
    m_refresher->markInUse();
    m_refresher->whenUpToDate([this, exchange] { proxy(exchange); });
}

void Gateway::proxy(const IntrusivePtr<HttpExchange> &exchange)
{
    // The caller may have left while the request waited for an up-to-date list of targets.
    if (exchange->isCallerGone())
        return;
    const HttpRequest &request = exchange->request();
    const RequestMetadata metadata = m_context.protocol.readRequestMetadata(request);
    const auto configuration = m_blackboard.configuration.read();
    if (!configuration) {
        refuse(*exchange, httpstatus::kUnavailable, "no_configuration");
        return;
    }
    const std::string *host = findHeader(request.headers, "Host");
    if (!host || countHeader(request.headers, "Host") != 1) {
        refuse(*exchange, httpstatus::kBadRequest, "no_host");
        return;
    }
    const Route *route = findRoute(*configuration, normalizedHost(*host), request.path());
    if (!route) {
        refuse(*exchange, httpstatus::kNotFound, "no_route");
        return;
    }
    if (m_shutdown && !m_shutdown->mayAccept(m_context.clock.now(), route->timeout)) {
        refuse(*exchange, httpstatus::kUnavailable, "leaving");
        return;
    }
    const WeightedService &weighted = chooseService(*route, m_context.random);
    ServiceDispatcher &dispatcher = dispatcherOf(weighted.service, *route);
    const Duration waited = previousWait(*route, metadata);
    makeRef<ProxiedRequest>(m_context, exchange, configuration, *route, dispatcher,
                            m_instanceConnections, metadata, waited)
            ->start();
}

Duration Gateway::bodyTime(const HttpRequest &head) const
{
    const RequestMetadata metadata = m_context.protocol.readRequestMetadata(head);
    if (metadata.deadline)
        return *metadata.deadline;
    const auto configuration = m_blackboard.configuration.read();
    const std::string *host = findHeader(head.headers, "Host");
    const Route *route = nullptr;
    if (configuration && host)
        route = findRoute(*configuration, normalizedHost(*host), head.path());
    return route ? route->timeout : m_listener.limits().head;
}

Duration Gateway::previousWait(const Route &route, const RequestMetadata &metadata)
{
    if (!metadata.deadline)
        return Duration::zero();
    Duration &full = m_longestDeadlines[route.name];
    full = std::max(full, *metadata.deadline);
    return std::min(full - *metadata.deadline, route.targetLatency);
}

void Gateway::refuse(HttpExchange &exchange, int status, const char *reason)
{
    exchange.respond(refusal(exchange.request(), status, reason));
}

HttpResponse Gateway::refusal(const HttpRequest &request, int status, const char *reason)
{
    HttpResponse response =
            jsonResponse(status, fmt::format(R"({{"outcome":"not-run","reason":"{}"}})", reason));
    if (status == httpstatus::kUnavailable)
        response.headers.push_back({ "Retry-After", kRetryAfterSeconds });
    if (isForwarded(request))
        response.headers.push_back({ kForwardOutcomeHeader, kNotRunOutcome });
    LogFields fields("refused");
    const auto configuration = m_blackboard.configuration.read();
    fields.add("request", m_context.protocol.readRequestMetadata(request).attemptId)
            .add("target", request.path())
            .add("reason", reason)
            .add("status", status)
            .add("config", static_cast<std::int64_t>(configuration ? configuration->version : 0));
    m_log.write(fields);
    m_metrics.countRequest("none", reason);
    return response;
}

std::vector<Address> Gateway::addressesFor(const AddressQuery &query)
{
    const auto configuration = m_blackboard.configuration.read();
    const auto instances = m_blackboard.instances.read();
    const auto drained = m_blackboard.drainedDomains.read();
    if (!configuration || !instances)
        return {};
    AddressQuery placed = query;
    placed.staysInRegion = staysInRegion(*configuration, query);
    const std::string key = query.host + '/' + query.failureDomain + '/' + query.region
                            + (placed.staysInRegion ? "/local" : "");
    const auto known = m_addressCache.find(key);
    std::vector<AddressCandidate> computed;
    if (known == m_addressCache.end()) {
        const TargetList noTargets;
        const DrainedDomains noDomains;
        const DispatchInputs inputs{ *configuration, m_targets ? *m_targets : noTargets,
                                     drained ? *drained : noDomains, *instances,
                                     m_settings.regions };
        computed = addressCandidates(inputs, placed);
    }
    std::vector<Address> addresses = sampleAddresses(
            known == m_addressCache.end() ? computed : known->second, m_context.random);
    // Callers choose the host, so the cache is bounded against arbitrary host names.
    if (known == m_addressCache.end() && key.size() <= kMaxCachedQueryBytes) {
        if (m_addressCache.size() >= kMaxCachedAddressQueries)
            m_addressCache.clear();
        m_addressCache.emplace(key, std::move(computed));
    }
    m_metrics.countAddressAnswer(addresses.empty());
    return addresses;
}

bool Gateway::staysInRegion(const GatewayConfiguration &configuration, const AddressQuery &query)
{
    const auto shares = m_blackboard.localShares.read();
    if (!shares || shares->shares.empty())
        return false;
    // The callers stay as far as all of their home regions are short of room.
    double share = 1;
    const std::vector<std::string> homes = distantHomeRegions(configuration, query);
    for (const std::string &home : homes) {
        const auto it =
                std::find_if(shares->shares.begin(), shares->shares.end(),
                             [&](const LocalShare &entry) { return entry.homeRegion == home; });
        share = std::min(share, it == shares->shares.end() ? 0 : it->share);
    }
    return !homes.empty() && m_context.random.uniform() < share;
}

void Gateway::configurationChanged(const IntrusivePtr<const GatewayConfiguration> &configuration)
{
    HttpListenerLimits limits = m_listener.limits();
    limits.message = { configuration->limits.headBytes, configuration->limits.bodyBytes };
    limits.head = configuration->limits.headTimeout;
    limits.idle = configuration->limits.idleTimeout;
    m_listener.setLimits(limits);
    for (const RoutedHost &host : configuration->hosts) {
        for (const Route &route : host.routes) {
            for (const WeightedService &weighted : route.services)
                dispatcherOf(weighted.service, route);
        }
    }
    m_metrics.setConfigurationVersion(configuration->version);
    configureDispatchers();
}

ServiceDispatcher &Gateway::dispatcherOf(const std::string &service, const Route &route)
{
    auto &dispatcher = m_dispatchers[service];
    if (!dispatcher) {
        dispatcher = std::make_unique<ServiceDispatcher>(m_context, m_settings.pool, service,
                                                         route.targetLatency);
    }
    return *dispatcher;
}

void Gateway::scheduleConfiguration()
{
    if (m_reconfigurationTimer)
        return;
    m_reconfigurationTimer = m_context.timers.after(Duration::zero(), [this] {
        m_reconfigurationTimer.reset();
        configureDispatchers();
    });
}

void Gateway::configureDispatchers()
{
    const auto configuration = m_blackboard.configuration.read();
    const auto instances = m_blackboard.instances.read();
    if (!configuration)
        return;
    m_targets = m_leavingTargets.apply(m_blackboard.targets.read());
    invalidateAddressCache();
    const bool ownershipKnown =
            instances && m_context.clock.now() - m_startedAt >= kColdTargetHoldOff;
    std::optional<std::size_t> instanceCount;
    if (instances)
        instanceCount = instances->instances.size();
    m_metrics.setInstances(instanceCount.value_or(1));
    m_metrics.setTargets(m_targets ? m_targets->targets.size() : 0);
    const TargetList noTargets;
    const DrainedDomains noDomains;
    const InstanceList noInstances;
    const auto drained = m_blackboard.drainedDomains.read();
    const DispatchInputs inputs{ *configuration, m_targets ? *m_targets : noTargets,
                                 drained ? *drained : noDomains,
                                 instances ? *instances : noInstances, m_settings.regions };
    const TargetOwnership ownership(inputs);
    const DispatcherIdentity self{ m_settings.instanceId, m_settings.failureDomain };
    for (const auto &[service, dispatcher] : m_dispatchers) {
        const ServiceProperties *known = findService(*configuration, service);
        const ServiceProperties properties = known ? *known : ServiceProperties();
        dispatcher->configure(properties, poolTargets(inputs, ownership, service, self),
                              remoteDispatchers(inputs, ownership, service, self), ownershipKnown);
        dispatcher->retryLimiter().setBudget(m_settings.retryBudget, instanceCount,
                                             m_context.clock.now());
    }
}

} // namespace lycheebay
