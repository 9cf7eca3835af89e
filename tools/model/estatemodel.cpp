#include "estatemodel.h"

#include "base/seconds.h"
#include "base/seededrandom.h"
#include "gateway/dispatcherselector.h"
#include "gateway/dispatcherview.h"
#include "gateway/regionspillover.h"
#include "gateway/servicepool.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>

namespace lycheebay::model {

namespace {

using std::chrono::milliseconds;

constexpr char kHost[] = "host";
constexpr char kService[] = "service";
constexpr char kOneQueue[] = "one-queue";
// Targets of the model are warm.
constexpr double kColdRequestsPerSecond = 100;
// Groups of callers in a failure domain that share an address answer.
constexpr std::size_t kCallerGroups = 40;
constexpr Duration kSpilloverPeriod = milliseconds(250);
constexpr double kWorkSpread = 0.3;
constexpr int kTriesAfterRefusal = 1;
// Dispatchers that a request is offered to.
constexpr std::size_t kMaxOffers = 4;
// Callers wait at most this part of the time that they have left before they come back.
constexpr int kRetryAfterDivisor = 3;

/// Events in order of time, then of creation.
class EventQueue
{
public:
    TimePoint now() const { return m_now; }
    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({ m_now + delay, ++m_count, std::move(action) });
    }
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };
    std::priority_queue<Event> m_events;
    TimePoint m_now;
    std::uint64_t m_count = 0;
};

struct ModelTarget
{
    TargetRecord record;
    int running = 0;
    std::vector<std::function<void()>> waiting;
    TimePoint slowUntil;
    TimePoint usualUntil;
};

/// One request of a caller with all of its tries.
struct ModelRequest
{
    const RequestClass *requestClass = nullptr;
    const Domain *domain = nullptr;
    std::size_t callerGroup = 0;
    TimePoint firstAsked;
    TimePoint asked;
    int refusals = 0;
    bool ended = false;
    /// Dispatchers that refused the current try.
    std::vector<std::string> triedInstances;
};
using RequestPtr = std::shared_ptr<ModelRequest>;

/// A request at a dispatcher; called once with whether a target served it.
struct PendingRequest
{
    RequestPtr request;
    std::string origin; ///< region that forwarded it for lack of room; empty if none did
    bool forwarded = false;
    std::function<void(bool served, Duration retryAfter)> answer;
    bool stays = false; ///< was offered to others, which had no room
};

struct ModelDispatcher
{
    ModelDispatcher(const GatewayInstance &it, std::string itsRegion, Duration latency,
                    IRandomSource &random)
        : instance(it)
        , region(std::move(itsRegion))
        , pool(ServicePoolSettings(), latency, random)
        , selector(random)
    {}

    const GatewayInstance instance;
    const std::string region;
    ServicePool pool;
    DispatcherSelector selector;
    std::map<QueuedRequestId, PendingRequest> pending;
    OverflowCounts overflow;
    std::uint64_t checks = 0;
    QueuedRequestId lastId = 0;
};

/// One run.
class EstateModel
{
public:
    EstateModel(const Scenario &scenario, const Policy &policy, std::uint64_t seed);
    RunResult run();

private:
    struct CachedAnswer
    {
        std::vector<Address> addresses;
        TimePoint validUntil;
    };

    void makeEstate();
    void configureDispatchers();
    DispatchInputs inputs() const
    {
        return { m_configuration, m_targetList, m_drained, m_instances, m_regions };
    }
    Duration delay(const std::string &fromDomain, const std::string &toDomain) const;

    void scheduleArrival(const Domain &domain);
    void ask(const RequestPtr &request);
    ModelDispatcher *chooseDispatcher(const ModelRequest &request);
    bool staysInRegion(const AddressQuery &query);
    void callerAnswered(const RequestPtr &request, bool served, Duration retryAfter);
    void receive(ModelDispatcher &dispatcher, PendingRequest pending);
    void enqueue(ModelDispatcher &dispatcher, PendingRequest pending);
    bool forward(ModelDispatcher &dispatcher, const PendingRequest &pending, ForwardReason reason);
    void decide(ModelDispatcher &dispatcher);
    void place(ModelDispatcher &dispatcher, const Placement &placement);
    void startAtTarget(ModelTarget &target, Duration work, std::function<void()> done);
    double slowdown(ModelTarget &target);
    TargetLoad loadOf(ModelTarget &target);
    void updateSpillover();
    ClassResult &resultOf(const ModelRequest &request)
    {
        return m_result.classes[request.requestClass->name];
    }

    const Scenario &m_scenario;
    const Policy &m_policy;
    SeededRandom m_random;
    EventQueue m_events;
    GatewayConfiguration m_configuration;
    TargetList m_targetList;
    DrainedDomains m_drained;
    InstanceList m_instances;
    DomainRegions m_regions;
    std::map<std::string, ModelTarget> m_targets;
    std::map<std::string, std::unique_ptr<ModelDispatcher>> m_dispatchers;
    std::map<std::string, RegionSpillover> m_spillovers;
    std::map<std::string, CachedAnswer> m_answers;
    RunResult m_result;
};

EstateModel::EstateModel(const Scenario &scenario, const Policy &policy, std::uint64_t seed)
    : m_scenario(scenario)
    , m_policy(policy)
    , m_random(seed)
{
    makeEstate();
    configureDispatchers();
}

void EstateModel::makeEstate()
{
    RoutedHost host{ kHost, {} };
    for (const RequestClass &it : m_scenario.classes) {
        Route route;
        route.name = it.name;
        route.services = { { kService, 1 } };
        route.homeRegions = it.homeRegions;
        route.targetLatency = it.targetLatency;
        route.timeout = it.deadline;
        host.routes.push_back(route);
    }
    m_configuration.hosts = { host };
    for (const Domain &domain : m_scenario.domains) {
        m_regions[domain.name] = domain.region;
        for (int i = 0; i < domain.instances; ++i) {
            const std::string id = domain.name + "-" + std::to_string(i);
            m_instances.instances.push_back({ id, { id, 80 }, domain.name });
        }
        for (int i = 0; i < domain.targets; ++i) {
            ModelTarget target;
            target.record.id = domain.name + "-t" + std::to_string(i);
            target.record.service = kService;
            target.record.failureDomain = domain.name;
            target.record.slots = m_scenario.slots;
            m_targetList.targets.push_back(target.record);
            m_targets[target.record.id] = target;
        }
    }
    for (const Drain &it : m_scenario.drains) {
        m_events.after(it.from, [this, domain = it.domain] {
            m_drained.domains = { domain };
            configureDispatchers();
        });
        m_events.after(it.to, [this] {
            m_drained.domains.clear();
            configureDispatchers();
        });
    }
}

void EstateModel::configureDispatchers()
{
    const TargetOwnership ownership(inputs());
    const Duration latency = m_scenario.classes.front().targetLatency;
    for (const GatewayInstance &it : m_instances.instances) {
        if (m_policy.oneQueue && !m_dispatchers.empty())
            break;
        auto &dispatcher = m_dispatchers[m_policy.oneQueue ? kOneQueue : it.id];
        if (!dispatcher) {
            dispatcher = std::make_unique<ModelDispatcher>(
                    it, regionOf(m_regions, it.failureDomain), latency, m_random);
        }
    }
    for (const auto &[id, dispatcher] : m_dispatchers) {
        const DispatcherIdentity self{ dispatcher->instance.id,
                                       dispatcher->instance.failureDomain };
        std::vector<PoolTarget> targets = poolTargets(inputs(), ownership, kService, self);
        for (PoolTarget &it : targets) {
            if (m_policy.oneQueue)
                it.proximity = Proximity::Owned;
        }
        dispatcher->pool.setTargets(targets);
        dispatcher->pool.setColdPolicy(kColdRequestsPerSecond, true);
        if (!m_policy.oneQueue) {
            dispatcher->selector.setDispatchers(
                    remoteDispatchers(inputs(), ownership, kService, self));
        }
    }
}

Duration EstateModel::delay(const std::string &fromDomain, const std::string &toDomain) const
{
    if (m_policy.oneQueue || fromDomain == toDomain)
        return Duration::zero();
    return regionOf(m_regions, fromDomain) == regionOf(m_regions, toDomain)
                   ? m_scenario.domainDelay
                   : m_scenario.regionDelay;
}

void EstateModel::scheduleArrival(const Domain &domain)
{
    double rate = domain.requestsPerSecond;
    for (const Burst &it : m_scenario.bursts) {
        const Duration now = m_events.now() - TimePoint();
        if (now >= it.from && now < it.to)
            rate *= it.factor;
    }
    const Duration gap = fromSeconds(-std::log(1 - m_random.uniform()) / rate);
    m_events.after(gap, [this, &domain] {
        const auto request = std::make_shared<ModelRequest>();
        double drawn = m_random.uniform();
        request->requestClass = &m_scenario.classes.back();
        for (const RequestClass &it : m_scenario.classes) {
            if (drawn < it.share) {
                request->requestClass = &it;
                break;
            }
            drawn -= it.share;
        }
        request->domain = &domain;
        request->callerGroup = m_random.below(kCallerGroups);
        request->firstAsked = m_events.now();
        ++resultOf(*request).asked;
        ask(request);
        scheduleArrival(domain);
    });
}

bool EstateModel::staysInRegion(const AddressQuery &query)
{
    if (m_policy.addresses == Policy::Addresses::OwnRegion)
        return true;
    if (m_policy.addresses == Policy::Addresses::HomeRegion)
        return false;
    double share = 1;
    const auto homes = distantHomeRegions(m_configuration, query);
    for (const std::string &home : homes) {
        double known = 0;
        for (const LocalShare &it : m_spillovers[query.region].shares().shares)
            known = it.homeRegion == home ? it.share : known;
        share = std::min(share, known);
    }
    return !homes.empty() && m_random.uniform() < share;
}

ModelDispatcher *EstateModel::chooseDispatcher(const ModelRequest &request)
{
    if (m_policy.oneQueue)
        return m_dispatchers.begin()->second.get();
    const std::string key = request.domain->name + "/" + std::to_string(request.callerGroup);
    CachedAnswer &answer = m_answers[key];
    if (answer.addresses.empty() || m_events.now() >= answer.validUntil) {
        AddressQuery query{ kHost, request.domain->name, request.domain->region };
        query.staysInRegion = staysInRegion(query);
        answer.addresses = sampleAddresses(addressCandidates(inputs(), query), m_random);
        answer.validUntil =
                m_events.now()
                + m_scenario.answerLifetime * static_cast<std::int64_t>(1 + 2 * m_random.below(2));
    }
    if (answer.addresses.empty())
        return nullptr;
    const Address &address = answer.addresses[m_random.below(answer.addresses.size())];
    return m_dispatchers.at(address.host).get();
}

void EstateModel::ask(const RequestPtr &request)
{
    request->asked = m_events.now();
    request->triedInstances.clear();
    ModelDispatcher *dispatcher = chooseDispatcher(*request);
    if (!dispatcher) {
        callerAnswered(request, false, milliseconds(200));
        return;
    }
    const Duration transit = m_scenario.callerDelay
                             + delay(request->domain->name, dispatcher->instance.failureDomain);
    m_events.after(transit, [this, request, dispatcher, transit] {
        receive(*dispatcher,
                { request, {}, false, [this, request, transit](bool served, Duration retry) {
                     m_events.after(transit, [this, request, served, retry] {
                         callerAnswered(request, served, retry);
                     });
                 } });
    });
}

void EstateModel::callerAnswered(const RequestPtr &request, bool served, Duration retryAfter)
{
    if (request->ended)
        return;
    const Duration taken = m_events.now() - request->firstAsked;
    const Duration left = request->requestClass->deadline - taken;
    ClassResult &result = resultOf(*request);
    if (served || left <= Duration::zero()) {
        request->ended = true;
        if (left <= Duration::zero())
            ++result.failed;
        else if (taken <= request->requestClass->targetLatency)
            ++result.inTime;
        else
            ++result.late;
        return;
    }
    ++request->refusals;
    if (request->refusals > kTriesAfterRefusal) {
        request->ended = true;
        ++result.refused;
        ++result.refusedTwice;
        return;
    }
    m_events.after(std::min(retryAfter, left / kRetryAfterDivisor),
                   [this, request] { ask(request); });
}

void EstateModel::receive(ModelDispatcher &dispatcher, PendingRequest pending)
{
    const std::vector<std::string> &homes = pending.request->requestClass->homeRegions;
    const bool mustLeave =
            !m_policy.oneQueue && !homes.empty()
            && std::find(homes.begin(), homes.end(), dispatcher.region) == homes.end();
    if (!mustLeave || pending.forwarded || !forward(dispatcher, pending, ForwardReason::HomeRegion))
        enqueue(dispatcher, std::move(pending));
}

void EstateModel::enqueue(ModelDispatcher &dispatcher, PendingRequest pending)
{
    const RequestClass &requestClass = *pending.request->requestClass;
    QueuedRequest queued;
    queued.id = ++dispatcher.lastId;
    queued.priority = requestClass.priority;
    queued.arrival = m_events.now();
    queued.objective = pending.request->firstAsked + requestClass.targetLatency;
    queued.refuseAt = std::max(queued.objective, m_events.now() + requestClass.targetLatency / 4);
    queued.deadline = pending.request->firstAsked + requestClass.deadline;
    queued.homeRegions = requestClass.homeRegions;
    queued.mayLeave = m_policy.leavesEarly && !pending.forwarded && !pending.stays;
    dispatcher.pending[queued.id] = std::move(pending);
    dispatcher.pool.enqueue(queued);
    decide(dispatcher);
}

bool EstateModel::forward(ModelDispatcher &dispatcher, const PendingRequest &pending,
                          ForwardReason reason)
{
    std::vector<std::string> &tried = pending.request->triedInstances;
    const RequestClass &requestClass = *pending.request->requestClass;
    const TimePoint objective = pending.request->firstAsked + requestClass.targetLatency;
    const ForwardRequest wanted{ reason, requestClass.homeRegions, tried,
                                 objective - dispatcher.pool.baselineServiceTime() };
    if (tried.size() >= kMaxOffers)
        return false;
    const auto chosen = dispatcher.selector.select(wanted, m_events.now());
    if (!chosen)
        return false;
    const std::string id = chosen->instanceId;
    tried.push_back(id);
    ModelDispatcher &other = *m_dispatchers.at(id);
    if (other.region != dispatcher.region)
        ++m_result.crossed;
    dispatcher.selector.recordSent(id);
    const TimePoint sentAt = m_events.now();
    const Duration transit = delay(dispatcher.instance.failureDomain, other.instance.failureDomain);
    const auto back = [this, &dispatcher, &other, pending, reason, id, sentAt,
                       transit](bool served, Duration retryAfter) {
        m_events.after(transit, [=, this, &dispatcher, &other] {
            dispatcher.selector.recordResult(
                    id, served ? ForwardResult::Accepted : ForwardResult::Refused, retryAfter,
                    m_events.now() - sentAt, m_events.now());
            if (served && reason == ForwardReason::NoRoom && other.region != dispatcher.region)
                dispatcher.overflow.regions.push_back({ other.region, 0, 1 });
            if (!served && forward(dispatcher, pending, reason))
                return;
            if (!served && !mustForward(reason)) {
                PendingRequest staying = pending;
                staying.stays = true;
                enqueue(dispatcher, staying);
                return;
            }
            pending.answer(served, retryAfter);
        });
    };
    const std::string origin = mustForward(reason) ? std::string() : dispatcher.region;
    m_events.after(transit, [this, &other, request = pending.request, origin, back] {
        receive(other, { request, origin, true, back });
    });
    return true;
}

void EstateModel::decide(ModelDispatcher &dispatcher)
{
    const PoolDecisions decisions = dispatcher.pool.decide(m_events.now());
    for (const Placement &it : decisions.placements)
        place(dispatcher, it);
    for (const Refusal &it : decisions.refusals) {
        const PendingRequest pending = std::move(dispatcher.pending.at(it.requestId));
        dispatcher.pending.erase(it.requestId);
        const ForwardReason reason = it.reason == RefusalReason::Crowded ? ForwardReason::Crowded
                                     : it.reason == RefusalReason::NotOwner
                                             ? ForwardReason::NotOwner
                                             : ForwardReason::NoRoom;
        if (m_policy.forwards && !pending.forwarded && forward(dispatcher, pending, reason))
            continue;
        if (reason != ForwardReason::NoRoom) {
            PendingRequest staying = pending;
            staying.stays = true;
            m_events.after({}, [this, &dispatcher, staying] { enqueue(dispatcher, staying); });
            continue;
        }
        pending.answer(false, it.retryAfter);
    }
    for (const TargetRecord &it : decisions.probes) {
        const Duration roundTrip =
                2 * delay(dispatcher.instance.failureDomain, it.failureDomain) + milliseconds(1);
        m_events.after(roundTrip, [this, &dispatcher, it] {
            const std::string key = targetKey(it);
            dispatcher.pool.recordProbe(key, true, m_events.now());
            dispatcher.pool.updateLoad(key, loadOf(m_targets.at(it.id)), m_events.now());
            decide(dispatcher);
        });
    }
    if (!decisions.nextCheck)
        return;
    const std::uint64_t check = ++dispatcher.checks;
    m_events.after(std::max(*decisions.nextCheck - m_events.now(), Duration::zero()),
                   [this, &dispatcher, check] {
                       if (check == dispatcher.checks)
                           decide(dispatcher);
                   });
}

void EstateModel::place(ModelDispatcher &dispatcher, const Placement &placement)
{
    const PendingRequest pending = std::move(dispatcher.pending.at(placement.requestId));
    dispatcher.pending.erase(placement.requestId);
    ++dispatcher.overflow.placed;
    if (!pending.origin.empty() && pending.origin != dispatcher.region)
        dispatcher.overflow.regions.push_back({ pending.origin, 1, 0 });
    ModelTarget &target = m_targets.at(placement.target.id);
    const std::string key = targetKey(placement.target);
    const TimePoint sentAt = m_events.now();
    const int occupied = target.running + static_cast<int>(target.waiting.size());
    m_result.mostAtATarget = std::max(m_result.mostAtATarget, occupied + 1);
    if (occupied >= m_scenario.slots + m_scenario.targetQueue) {
        dispatcher.pool.finish(key, AttemptResult::Shed, std::nullopt, sentAt);
        pending.answer(false, milliseconds(200));
        return;
    }
    const double spread = 1 + kWorkSpread * (2 * m_random.uniform() - 1);
    const Duration work = fromSeconds(toSeconds(pending.request->requestClass->work) * spread);
    startAtTarget(target, work, [this, &dispatcher, &target, key, sentAt, pending] {
        dispatcher.pool.updateLoad(key, loadOf(target), m_events.now());
        dispatcher.pool.finish(key, AttemptResult::Served, m_events.now() - sentAt, m_events.now());
        pending.answer(true, {});
        decide(dispatcher);
    });
}

void EstateModel::startAtTarget(ModelTarget &target, Duration work, std::function<void()> done)
{
    if (target.running >= m_scenario.slots) {
        target.waiting.emplace_back([this, &target, work, done = std::move(done)] {
            startAtTarget(target, work, done);
        });
        return;
    }
    ++target.running;
    m_events.after(fromSeconds(toSeconds(work) * slowdown(target)),
                   [this, &target, done = std::move(done)] {
                       --target.running;
                       if (!target.waiting.empty()) {
                           const auto next = target.waiting.front();
                           target.waiting.erase(target.waiting.begin());
                           next();
                       }
                       done();
                   });
}

double EstateModel::slowdown(ModelTarget &target)
{
    const TimePoint now = m_events.now();
    const double spell = toSeconds(m_scenario.slowSpell);
    while (m_scenario.slowShare > 0 && target.usualUntil <= now) {
        // Exponential lengths of spells and of the times between them.
        const double usual = spell * (1 - m_scenario.slowShare) / m_scenario.slowShare;
        target.slowUntil =
                target.usualUntil + fromSeconds(-spell * std::log(1 - m_random.uniform()));
        target.usualUntil =
                target.slowUntil + fromSeconds(-usual * std::log(1 - m_random.uniform()));
    }
    return now < target.slowUntil ? m_scenario.slowFactor : 1;
}

TargetLoad EstateModel::loadOf(ModelTarget &target)
{
    return { target.running, static_cast<int>(target.waiting.size()), m_scenario.slots,
             slowdown(target) };
}

void EstateModel::updateSpillover()
{
    for (const auto &[id, it] : m_dispatchers) {
        if (!it->overflow.regions.empty())
            m_spillovers[it->region].add(it->overflow, m_events.now());
        it->overflow.placed = 0;
        it->overflow.regions.clear();
    }
    for (auto &[region, it] : m_spillovers)
        it.update(m_events.now());
    m_events.after(kSpilloverPeriod, [this] { updateSpillover(); });
}

RunResult EstateModel::run()
{
    for (const Domain &it : m_scenario.domains)
        scheduleArrival(it);
    updateSpillover();
    m_events.runUntil(TimePoint() + m_scenario.length);
    // Requests that are under way at the end are not judged.
    for (auto &[name, it] : m_result.classes)
        it.asked = it.inTime + it.late + it.refused + it.failed;
    return m_result;
}

} // namespace

std::vector<Policy> comparedPolicies()
{
    using Addresses = Policy::Addresses;
    return { { "home-region", Addresses::HomeRegion, false, false, false },
             { "forwarding", Addresses::HomeRegion, true, false, false },
             { "early", Addresses::HomeRegion, true, true, false },
             { "own-region", Addresses::OwnRegion, true, true, false },
             { "adaptive-late", Addresses::Adaptive, true, false, false },
             { "adaptive", Addresses::Adaptive, true, true, false },
             { "one-queue", Addresses::HomeRegion, false, false, true } };
}

ClassResult &ClassResult::operator+=(const ClassResult &other)
{
    asked += other.asked;
    inTime += other.inTime;
    late += other.late;
    refused += other.refused;
    refusedTwice += other.refusedTwice;
    failed += other.failed;
    return *this;
}

ClassResult RunResult::total() const
{
    ClassResult sum;
    for (const auto &[name, it] : classes)
        sum += it;
    return sum;
}

RunResult play(const Scenario &scenario, const Policy &policy, std::uint64_t seed)
{
    return EstateModel(scenario, policy, seed).run();
}

} // namespace lycheebay::model
