#include "gateway/internal/servicedispatcher.h"

#include <fmt/format.h>

namespace lycheebay {

namespace {

// A service without requests for this long is no longer probed, so that its connections become idle
// and are closed.
constexpr Duration kInactiveAfter = std::chrono::seconds(3);
constexpr Duration kIdleCheckPeriod = std::chrono::milliseconds(500);

} // namespace

ServiceDispatcher::ServiceDispatcher(GatewayContext &context, const ServicePoolSettings &settings,
                                     std::string service, Duration targetLatency)
    : m_context(context)
    , m_service(std::move(service))
    , m_pool(settings, targetLatency, context.random)
    , m_retryLimiter(context.clock.now())
    , m_dispatcherSelector(context.random)
    , m_lastRequestAt(context.clock.now() - kInactiveAfter)
{
    m_idleTimer = context.timers.every(kIdleCheckPeriod, [this] {
        for (const auto &[key, connections] : m_targetConnections)
            connections->closeIdle();
        if (isActive())
            run();
    });
}

ServiceDispatcher::~ServiceDispatcher() = default;

bool ServiceDispatcher::isActive() const
{
    return m_context.clock.now() - m_lastRequestAt < kInactiveAfter;
}

void ServiceDispatcher::configure(const ServiceProperties &properties,
                                  const std::vector<PoolTarget> &targets,
                                  const std::vector<RemoteDispatcher> &dispatchers,
                                  bool ownershipKnown)
{
    m_dispatcherSelector.setDispatchers(dispatchers);
    m_healthPath = properties.healthPath;
    m_pool.setTargets(targets);
    m_pool.setColdPolicy(properties.coldRequestsPerSecond, ownershipKnown);
    StringMap<IntrusivePtr<TargetConnections>> updated;
    for (const PoolTarget &it : targets) {
        const std::string key = targetKey(it.record);
        const auto known = m_targetConnections.find(key);
        const bool sameAddress = known != m_targetConnections.end()
                                 && known->second->record().address == it.record.address;
        updated[key] = sameAddress ? known->second
                                   : makeRef<TargetConnections>(m_context.context, m_context.timers,
                                                                m_context.clock, it.record);
    }
    m_targetConnections = std::move(updated);
    if (!m_requests.empty())
        scheduleRun();
}

void ServiceDispatcher::submit(const QueuedRequest &queued, IDispatchedRequest &request)
{
    m_lastRequestAt = m_context.clock.now();
    m_requests[queued.id] = &request;
    m_pool.enqueue(queued);
    run();
}

void ServiceDispatcher::cancel(QueuedRequestId id)
{
    m_requests.erase(id);
    m_pool.cancel(id);
}

void ServiceDispatcher::finish(const std::string &key, AttemptResult result,
                               std::optional<Duration> elapsed, const ResponseMetadata &metadata)
{
    // The load is updated first, since a target may still count the request that it answers.
    applyMetadata(key, metadata);
    // Rejections and errors may come from a part of the target that names no limit.
    if (result == AttemptResult::Served && !metadata.requestLimit)
        updateRequestLimit(key, std::nullopt);
    // A target that leaves or pauses is not failing.
    const bool isStated = metadata.pause || metadata.leaving;
    const bool isFailure = result != AttemptResult::Served;
    m_pool.finish(key, isStated && isFailure ? AttemptResult::Abandoned : result, elapsed,
                  m_context.clock.now());
    if (!m_requests.empty())
        scheduleRun();
}

void ServiceDispatcher::applyMetadata(const std::string &key, const ResponseMetadata &metadata)
{
    const TimePoint now = m_context.clock.now();
    if (metadata.load)
        m_pool.updateLoad(key, *metadata.load, now);
    if (metadata.coldFor)
        m_pool.updateColdTime(key, *metadata.coldFor, now);
    if (metadata.wrongTarget)
        return;
    if (metadata.requestLimit)
        updateRequestLimit(key, metadata.requestLimit);
    if (metadata.leaving)
        m_context.leavingTargets.record(key);
    if (metadata.pause)
        pauseTarget(key, *metadata.pause);
}

void ServiceDispatcher::pauseTarget(const std::string &key, Duration pause)
{
    m_pool.pauseTarget(key, pause, m_context.clock.now());
    LogFields fields("target_paused");
    fields.add("service", m_service).add("target", key).addMs("pause_ms", pause);
    m_context.log.write(fields);
}

void ServiceDispatcher::updateRequestLimit(const std::string &key, std::optional<double> perSecond)
{
    if (!m_pool.updateRequestLimit(key, perSecond, m_context.clock.now()))
        return;
    LogFields fields("target_limit");
    fields.add("service", m_service).add("target", key);
    fields.add("requests_per_s", perSecond ? fmt::format("{:.3f}", *perSecond) : "none");
    m_context.log.write(fields);
}

void ServiceDispatcher::scheduleRun()
{
    if (m_running) {
        m_runAgain = true;
        return;
    }
    if (!m_runTimer) {
        m_runTimer = m_context.timers.after(Duration::zero(), [this] {
            m_runTimer.reset();
            run();
        });
    }
}

void ServiceDispatcher::run()
{
    if (m_running) {
        m_runAgain = true;
        return;
    }
    m_running = true;
    do {
        m_runAgain = false;
        const PoolDecisions decisions = m_pool.decide(m_context.clock.now());
        m_checkTimer.reset();
        if (decisions.nextCheck) {
            const Duration delay = *decisions.nextCheck - m_context.clock.now();
            m_checkTimer =
                    m_context.timers.after(std::max(delay, Duration::zero()), [this] { run(); });
        }
        apply(decisions);
    } while (m_runAgain);
    m_running = false;
}

void ServiceDispatcher::apply(const PoolDecisions &decisions)
{
    for (const Placement &it : decisions.placements) {
        const auto request = m_requests.find(it.requestId);
        const auto connections = m_targetConnections.find(targetKey(it.target));
        if (request == m_requests.end() || connections == m_targetConnections.end()) {
            // The request was cancelled while an earlier placement was handled.
            m_pool.finish(targetKey(it.target), AttemptResult::Abandoned, std::nullopt,
                          m_context.clock.now());
            continue;
        }
        IDispatchedRequest *target = request->second;
        m_requests.erase(request);
        target->onPlaced(it, connections->second);
    }
    for (const Refusal &it : decisions.refusals) {
        const auto request = m_requests.find(it.requestId);
        if (request == m_requests.end())
            continue;
        IDispatchedRequest *target = request->second;
        m_requests.erase(request);
        target->onRefused(it);
    }
    for (const TargetRecord &it : decisions.probes)
        probe(it);
}

void ServiceDispatcher::probe(const TargetRecord &target)
{
    const std::string key = targetKey(target);
    const auto connections = m_targetConnections.find(key);
    if (connections == m_targetConnections.end())
        return;
    connections->second->probe(m_healthPath, [this, key,
                                              id = target.id](const HttpResponse *response) {
        const ResponseMetadata metadata =
                response ? m_context.protocol.readResponseMetadata(*response) : ResponseMetadata();
        // Another target may have taken over the address.
        const bool answered = response && (metadata.targetId.empty() || metadata.targetId == id);
        m_context.metrics.countProbe(answered);
        m_pool.recordProbe(key, answered, m_context.clock.now());
        if (answered) {
            ResponseMetadata known = metadata;
            if (!known.coldFor)
                known.coldFor = Duration::zero();
            applyMetadata(key, known);
        }
        if (!m_requests.empty())
            scheduleRun();
    });
}

} // namespace lycheebay
