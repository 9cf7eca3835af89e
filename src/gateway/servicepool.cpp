#include "gateway/servicepool.h"

#include "base/seconds.h"

#include <algorithm>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

// Slowdown assumed for a target without a recent load report. Noisy neighbours make a target four
// times slower for a quarter of the time, 1.75 on average.
constexpr double kDefaultSlowdown = 1.75;
// After this time a load report says little about a target's speed, since slow periods last about
// as long.
constexpr Duration kLoadReportLifetime = milliseconds(300);
// A target with at most this slowdown is used without probing others.
constexpr double kNegligibleSlowdown = 1.1;
// Maximum number of concurrent probes of targets that other instances own. Such targets are used
// for single requests, and each probe needs a new connection. Owned targets are all probed: probing
// only four of them made one request in forty miss its objective under the heaviest load.
constexpr std::size_t kMaxProbesOfOtherTargets = 2;
// Approximate service time of a cold target relative to a warm one.
constexpr double kColdSlowdown = 2;
// Interval of decide() while requests wait for a faster target; free but slow targets are probed
// again.
constexpr Duration kQueueCheckPeriod = milliseconds(25);
// A request that may leave does so once it has waited, or is expected to wait, for this part of the
// time after which it cannot meet its objective.
constexpr int kLeaveDivisor = 2;
// A probe without an answer after this time no longer counts as in flight.
constexpr Duration kProbeInFlightLimit = milliseconds(300);
// Limits of Retry-After. The upper one keeps a retry within the deadlines of callers.
constexpr Duration kMinRetryAfter = milliseconds(50);
constexpr Duration kMaxRetryAfter = milliseconds(1500);

} // namespace

std::string targetKey(const TargetRecord &record)
{
    return record.id + '@' + std::to_string(record.startedAtMs);
}

ServicePool::ServicePool(const ServicePoolSettings &settings, Duration targetLatency,
                         IRandomSource &random)
    : m_settings(settings)
    , m_random(random)
    , m_serviceTime(targetLatency)
    , m_slotHoldTime(m_serviceTime.at(kDefaultSlowdown))
{}

void ServicePool::setTargets(const std::vector<PoolTarget> &targets)
{
    std::vector<TargetState> states;
    states.reserve(targets.size());
    for (const PoolTarget &target : targets) {
        const std::string key = targetKey(target.record);
        TargetState *known = find(key);
        TargetState state = known ? std::move(*known) : TargetState();
        if (!known)
            state.coldUntil = target.record.coldUntil;
        state.key = key;
        state.target = target;
        states.push_back(std::move(state));
    }
    m_targets = std::move(states);
}

void ServicePool::setColdPolicy(double requestsPerSecond, bool mayUseCold)
{
    m_coldRequestsPerSecond = requestsPerSecond;
    m_mayUseCold = mayUseCold;
}

void ServicePool::enqueue(const QueuedRequest &request)
{
    // Ordered by priority, then by earliest objective.
    const auto before = [](const QueuedRequest &a, const QueuedRequest &b) {
        return std::tie(a.priority, a.objective, a.id) < std::tie(b.priority, b.objective, b.id);
    };
    m_queue.insert(std::upper_bound(m_queue.begin(), m_queue.end(), request, before), request);
}

void ServicePool::cancel(QueuedRequestId requestId)
{
    std::erase_if(m_queue, [&](const QueuedRequest &it) { return it.id == requestId; });
}

PoolDecisions ServicePool::decide(TimePoint now)
{
    PoolDecisions decisions;
    std::vector<QueuedRequest> waiting;
    m_requestsAhead = 0;
    for (const bool inTime : { true, false }) {
        for (const QueuedRequest &it : m_queue) {
            if (canMeetObjective(it, now) != inTime || decideRequest(it, now, decisions))
                continue;
            waiting.push_back(it);
            ++m_requestsAhead;
        }
    }
    m_queue.clear();
    for (const QueuedRequest &it : waiting)
        enqueue(it);
    if (!m_queue.empty())
        scheduleCheck(now + kQueueCheckPeriod, decisions);
    probeIdleTargets(now, decisions);
    return decisions;
}

bool ServicePool::canMeetObjective(const QueuedRequest &request, TimePoint now) const
{
    return now + m_serviceTime.baseline() <= request.objective;
}

bool ServicePool::decideRequest(const QueuedRequest &request, TimePoint now,
                                PoolDecisions &decisions)
{
    const std::vector<TargetState *> targets = eligibleTargets(request, now);
    if (targets.empty()) {
        refuse(request, RefusalReason::NoTarget, now, decisions);
        return true;
    }
    // Other dispatchers count the requests to their targets; taking slots unseen would overfill
    // them.
    if (request.mayLeave && targets.front()->target.proximity != Proximity::Owned) {
        refuse(request, RefusalReason::NotOwner, now, decisions);
        return true;
    }
    if (now + m_serviceTime.baseline() / 2 >= request.deadline) {
        refuse(request, RefusalReason::WaitedLong, now, decisions);
        return true;
    }
    std::vector<TargetState *> free;
    std::copy_if(
            targets.begin(), targets.end(), std::back_inserter(free),
            [&](const TargetState *it) { return it->noResponseYet || freeSlots(*it, now) > 0; });
    if (probeForLoad(free, request, now, decisions)) {
        scheduleCheck(request.arrival + m_settings.probeWait, decisions);
        return false;
    }
    std::erase_if(free, [&](const TargetState *it) { return freeSlots(*it, now) <= 0; });
    const Candidate choice = selectFastest(free, now);
    return canMeetObjective(request, now) ? decideInTime(request, targets, choice, now, decisions)
                                          : decideLate(request, choice, now, decisions);
}

bool ServicePool::decideInTime(const QueuedRequest &request,
                               const std::vector<TargetState *> &targets, const Candidate &choice,
                               TimePoint now, PoolDecisions &decisions)
{
    if (choice.target && now + choice.expected <= request.objective) {
        place(request, choice, now, decisions);
        return true;
    }
    const TimePoint latestStart = request.objective - m_serviceTime.baseline();
    const Duration wait = expectedWait(targets, m_requestsAhead, now);
    if (now + wait > latestStart) {
        refuse(request, RefusalReason::QueueFull, now, decisions);
        return true;
    }
    const TimePoint leaveAt = request.arrival + (latestStart - request.arrival) / kLeaveDivisor;
    if (request.mayLeave && now + wait > leaveAt) {
        refuse(request, RefusalReason::Crowded, now, decisions);
        return true;
    }
    scheduleCheck(std::max(latestStart, now + kQueueCheckPeriod), decisions);
    return false;
}

bool ServicePool::decideLate(const QueuedRequest &request, const Candidate &choice, TimePoint now,
                             PoolDecisions &decisions)
{
    // A late answer is better than none, but a request that cannot complete before its deadline
    // would only take a slot from others.
    if (m_requestsAhead == 0 && choice.target && now + choice.expected <= request.deadline) {
        place(request, choice, now, decisions);
        return true;
    }
    // Requests ahead that can still meet their objective take the free slots first; the caller is
    // better off retrying elsewhere.
    if (m_requestsAhead > 0 || now >= request.refuseAt) {
        refuse(request, RefusalReason::WaitedLong, now, decisions);
        return true;
    }
    scheduleCheck(request.refuseAt, decisions);
    return false;
}

bool ServicePool::probeForLoad(const std::vector<TargetState *> &targets,
                               const QueuedRequest &request, TimePoint now,
                               PoolDecisions &decisions)
{
    std::vector<TargetState *> unprobed;
    std::size_t probed = 0;
    for (TargetState *it : targets) {
        if (isFresh(*it, now)) {
            if (slowdownOf(*it, now) <= kNegligibleSlowdown)
                return false;
            continue;
        }
        if (it->probeSentAt && now - *it->probeSentAt < kProbeInFlightLimit)
            ++probed;
        else
            unprobed.push_back(it);
    }
    const bool owned = !targets.empty() && targets.front()->target.proximity == Proximity::Owned;
    const std::size_t maxProbes = owned ? targets.size() : kMaxProbesOfOtherTargets;
    for (; probed < maxProbes && !unprobed.empty(); ++probed) {
        std::swap(unprobed[m_random.below(unprobed.size())], unprobed.back());
        unprobed.back()->probeSentAt = now;
        decisions.probes.push_back(unprobed.back()->target.record);
        unprobed.pop_back();
    }
    return probed > 0 && now - request.arrival < m_settings.probeWait;
}

ServicePool::Candidate ServicePool::selectFastest(const std::vector<TargetState *> &targets,
                                                  TimePoint now) const
{
    Candidate best;
    double bestCost = 0;
    for (TargetState *it : targets) {
        const double slowdown = slowdownOf(*it, now);
        const Duration expected = m_serviceTime.at(slowdown);
        // The expected cost of a retry is added for a failing target. Among equally fast targets,
        // the one with more free slots is chosen.
        const double fill = static_cast<double>(it->inFlight + otherInFlightOf(*it, now))
                            / std::max(1, it->target.record.slots);
        const double cost =
                toSeconds(expected) * (1 + 3 * it->health.failureRate()) * (1 + 0.2 * fill);
        if (!best.target || cost < bestCost) {
            best = { it, expected };
            bestCost = cost;
        }
    }
    return best;
}

void ServicePool::place(const QueuedRequest &request, const Candidate &choice, TimePoint now,
                        PoolDecisions &decisions)
{
    TargetState &target = *choice.target;
    ++target.inFlight;
    if (const auto rate = rateLimitOf(target, now))
        target.pacer.recordSent(now, *rate);
    target.health.recordTrialStarted(now);
    Placement placement{ request.id,   target.target.record, choice.expected,
                         std::nullopt, target.slowdown,      m_requestsAhead };
    if (target.loadReportedAt)
        placement.loadAge = now - *target.loadReportedAt;
    decisions.placements.push_back(std::move(placement));
}

void ServicePool::refuse(const QueuedRequest &request, RefusalReason reason, TimePoint now,
                         PoolDecisions &decisions)
{
    const std::vector<TargetState *> targets = eligibleTargets(request, now);
    const auto pause = targets.empty() ? shortestPause(request, now) : std::nullopt;
    // retryAfter() spreads it from here to three times the pause.
    const Duration wait = pause ? *pause * 2 : expectedWait(targets, m_queue.size(), now);
    decisions.refusals.push_back({ request.id, reason, retryAfter(wait), m_queue.size() });
}

Duration ServicePool::retryAfter(Duration wait)
{
    // Jitter, so that callers do not retry at the same time.
    const double spread = 0.5 + m_random.uniform();
    const Duration spreadWait = fromSeconds(toSeconds(wait) * spread);
    return std::clamp(spreadWait, kMinRetryAfter, kMaxRetryAfter);
}

Duration ServicePool::expectedWait(const std::vector<TargetState *> &targets, std::size_t ahead,
                                   TimePoint now) const
{
    double throughput = 0;
    int free = 0;
    for (const TargetState *it : targets) {
        throughput += throughputOf(*it, now);
        free += std::max(0, freeSlots(*it, now));
    }
    if (throughput <= 0)
        return kMaxRetryAfter;
    const auto blocked = static_cast<double>(ahead) + 1 - free;
    return blocked <= 0 ? Duration::zero() : fromSeconds(blocked / throughput);
}

int ServicePool::otherInFlightOf(const TargetState &it, TimePoint now) const
{
    const bool known = it.loadReportedAt && now - *it.loadReportedAt <= kLoadReportLifetime;
    return known ? it.otherInFlight : 0;
}

double ServicePool::slowdownOf(const TargetState &it, TimePoint now) const
{
    const bool known = it.loadReportedAt && now - *it.loadReportedAt <= kLoadReportLifetime;
    const double slowdown = known ? it.slowdown : kDefaultSlowdown;
    return isCold(it, now) ? slowdown * kColdSlowdown : slowdown;
}

void ServicePool::probeIdleTargets(TimePoint now, PoolDecisions &decisions)
{
    for (TargetState &it : m_targets) {
        if (it.target.proximity != Proximity::Owned || it.target.record.leaving
            || now < it.pausedUntil)
            continue;
        TimePoint last = TimePoint::min();
        if (it.loadReportedAt)
            last = *it.loadReportedAt;
        if (it.probeSentAt)
            last = std::max(last, *it.probeSentAt);
        if (last != TimePoint::min() && now - last < m_settings.idleProbePeriod)
            continue;
        it.probeSentAt = now;
        decisions.probes.push_back(it.target.record);
    }
}

void ServicePool::scheduleCheck(TimePoint at, PoolDecisions &decisions) const
{
    if (!decisions.nextCheck || at < *decisions.nextCheck)
        decisions.nextCheck = at;
}

} // namespace lycheebay
