#include "gateway/internal/servicedispatcher.h"

namespace lycheebay {

namespace {

// Connections and probes of a service that gets no requests are let go after this time.
constexpr Duration kActiveAfterRequest = std::chrono::seconds(3);
constexpr Duration kIdleCheckPeriod = std::chrono::milliseconds(500);

} // namespace

ServiceDispatcher::ServiceDispatcher(GatewayContext &context, const ServicePoolSettings &settings,
                                     std::string service, Duration targetLatency)
    : m_context(context)
    , m_service(std::move(service))
    , m_pool(settings, targetLatency, context.random)
    , m_lastRequestAt(context.clock.now() - kActiveAfterRequest)
{
    m_idleTimer = context.timers.every(kIdleCheckPeriod, [this] {
        for (const auto &[key, link] : m_links)
            link->closeIdle();
        if (isActive())
            run();
    });
}

ServiceDispatcher::~ServiceDispatcher() = default;

bool ServiceDispatcher::isActive() const
{
    return m_context.clock.now() - m_lastRequestAt < kActiveAfterRequest;
}

void ServiceDispatcher::configure(const ServiceProperties &properties,
                                  const std::vector<PoolTarget> &targets, bool ownershipCertain)
{
    m_healthPath = properties.healthPath;
    m_pool.setTargets(targets);
    m_pool.setColdPolicy(properties.coldRequestsPerSecond, ownershipCertain);
    StringMap<IntrusivePtr<BackendLink>> links;
    for (const PoolTarget &it : targets) {
        const std::string key = targetKey(it.record);
        const auto known = m_links.find(key);
        const bool sameAddress =
                known != m_links.end() && known->second->record().address == it.record.address;
        links[key] = sameAddress ? known->second
                                 : makeRef<BackendLink>(m_context.context, m_context.timers,
                                                        m_context.clock, it.record);
    }
    m_links = std::move(links);
    if (!m_requests.empty())
        runSoon();
}

void ServiceDispatcher::submit(const Ticket &ticket, IDispatchedRequest &request)
{
    m_lastRequestAt = m_context.clock.now();
    m_requests[ticket.id] = &request;
    m_pool.enqueue(ticket);
    run();
}

void ServiceDispatcher::cancel(TicketId ticket)
{
    m_requests.erase(ticket);
    m_pool.cancel(ticket);
}

void ServiceDispatcher::finish(const std::string &key, AttemptVerdict verdict,
                               std::optional<Duration> elapsed, const ResponseMetadata &signals)
{
    // The load is noted first: a target may still count the request that it answers.
    noteSignals(key, signals);
    m_pool.finish(key, verdict, elapsed, m_context.clock.now());
    if (!m_requests.empty())
        runSoon();
}

void ServiceDispatcher::noteSignals(const std::string &key, const ResponseMetadata &signals)
{
    const TimePoint now = m_context.clock.now();
    if (signals.load)
        m_pool.noteLoad(key, *signals.load, now);
    if (signals.coldFor)
        m_pool.noteCold(key, *signals.coldFor, now);
}

void ServiceDispatcher::runSoon()
{
    if (m_running) {
        m_runAgain = true;
        return;
    }
    if (!m_soonTimer) {
        m_soonTimer = m_context.timers.after(Duration::zero(), [this] {
            m_soonTimer.reset();
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
        carryOut(decisions);
    } while (m_runAgain);
    m_running = false;
}

void ServiceDispatcher::carryOut(const PoolDecisions &decisions)
{
    for (const Placement &it : decisions.placements) {
        const auto request = m_requests.find(it.ticket);
        const auto link = m_links.find(targetKey(it.target));
        if (request == m_requests.end() || link == m_links.end()) {
            // Cancelled by what an earlier placement caused.
            m_pool.finish(targetKey(it.target), AttemptVerdict::Abandoned, std::nullopt,
                          m_context.clock.now());
            continue;
        }
        IDispatchedRequest *target = request->second;
        m_requests.erase(request);
        target->placed(it, link->second);
    }
    for (const Refusal &it : decisions.refusals) {
        const auto request = m_requests.find(it.ticket);
        if (request == m_requests.end())
            continue;
        IDispatchedRequest *target = request->second;
        m_requests.erase(request);
        target->refused(it);
    }
    for (const TargetRecord &it : decisions.probes)
        probe(it);
}

void ServiceDispatcher::probe(const TargetRecord &target)
{
    const std::string key = targetKey(target);
    const auto link = m_links.find(key);
    if (link == m_links.end())
        return;
    link->second->probe(m_healthPath, [this, key, id = target.id](const HttpResponse *response) {
        const ResponseMetadata signals =
                response ? m_context.protocol.readResponseMetadata(*response) : ResponseMetadata();
        // Another target may have taken over the address.
        const bool answered = response && (signals.targetId.empty() || signals.targetId == id);
        m_context.metrics.countProbe(answered);
        m_pool.noteProbe(key, answered, m_context.clock.now());
        if (answered) {
            ResponseMetadata known = signals;
            if (!known.coldFor)
                known.coldFor = Duration::zero();
            noteSignals(key, known);
        }
        if (!m_requests.empty())
            runSoon();
    });
}

} // namespace lycheebay
