#include "base/invariant.h"
#include "routing/internal/cellcore.h"

#include <algorithm>

namespace lycheebay {

namespace {

constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(10);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(5);
// Requests looked at when the best free target was already tried by the first one.
constexpr int kLookAhead = 8;
// Bounds the work of one call; the next one goes on.
constexpr int kLightsShedPerCall = 4;

bool isSlower(const Candidate &a, const Candidate &b)
{
    return a.latency > b.latency;
}

} // namespace

void CellCore::refresh(TimePoint now)
{
    m_selector.refresh(m_rules, m_strategy->isBoundedBySlots(), latencies().mean(), now);
}

Decision CellCore::place(RequestState &request, TimePoint now)
{
    if (!canFinish(request.traits, now))
        return shedOf(request, ShedReason::DeadlineExceeded, now);
    refresh(now);
    TargetState *trial = m_selector.trial();
    if (trial && maySpareTrial(request) && !TargetSelector::wasTried(request, *trial))
        return assign(request, *trial, AttemptKind::Trial, now);
    if (m_selector.inServiceCount() == 0)
        return placeWithoutTarget(request, now);
    const bool first = request.isHeavy() ? m_queue.heavyCount() == 0 : m_queue.empty();
    if (first) {
        if (std::optional<Assignment> assignment = assignNow(request, now))
            return *std::move(assignment);
    }
    if (!m_strategy->isBoundedBySlots())
        return shedOf(request, ShedReason::Overloaded, now);
    return enqueue(request, now);
}

Decision CellCore::placeWithoutTarget(RequestState &request, TimePoint now)
{
    const bool waits = m_selector.waitingForColdCount() > 0 && m_strategy->isBoundedBySlots();
    const bool inTime = m_rules.coldAllowedFrom + latencies().p95() < request.traits.deadline;
    if (!waits || !inTime || m_queue.size() >= m_settings.maxQueued)
        return shedOf(request, ShedReason::NoTarget, now);
    m_queue.push(&request, now);
    return Queued{};
}

std::optional<Assignment> CellCore::assignNow(RequestState &request, TimePoint now)
{
    TargetState *target = chooseFor(request);
    if (!target)
        return std::nullopt;
    return assign(request, *target, AttemptKind::Regular, now);
}

TargetState *CellCore::chooseFor(const RequestState &request)
{
    std::vector<Candidate> &candidates = m_selector.candidates();
    if (!request.tried.empty()) {
        std::erase_if(candidates, [&](const Candidate &candidate) {
            return TargetSelector::wasTried(request, *candidate.target);
        });
    }
    if (candidates.empty())
        return nullptr;
    const Candidate &chosen = candidates[m_strategy->choose(candidates, m_random)];
    const bool bounded = m_strategy->isBoundedBySlots();
    if (bounded && !m_selector.isAcceptable(chosen.latency, Duration::zero()))
        return nullptr;
    return chosen.target;
}

Decision CellCore::enqueue(RequestState &request, TimePoint now)
{
    const Duration wait = m_selector.waitAt(m_queue.positionFor(request.isHeavy()));
    if (wait > waitLimit(request.traits, now))
        return shedOf(request, ShedReason::Overloaded, now);
    if (m_queue.size() >= m_settings.maxQueued) {
        if (!request.isHeavy() || m_queue.lightCount() == 0)
            return shedOf(request, ShedReason::Overloaded, now);
        shedQueued(*m_queue.newestLight(), ShedReason::Overloaded, now);
    }
    m_queue.push(&request, now);
    if (request.isHeavy())
        shedLateLights(now);
    return Queued{};
}

Assignment CellCore::assign(RequestState &request, TargetState &target, AttemptKind kind,
                            TimePoint now)
{
    checkAssignment(target, kind, now);
    target.attemptStarted(now);
    request.tried.push_back(target.ordinal());
    ++request.inFlight;
    const AttemptId id = m_nextAttempt++;
    m_attempts[id] = { request.id, &target, now, kind == AttemptKind::Trial };
    return { request.id, id, target.spec().id, target.spec().address };
}

void CellCore::checkAssignment(const TargetState &target, AttemptKind kind, TimePoint now) const
{
    const bool owner = m_rules.role == DispatchRole::Owner;
    const bool coldNow = owner && now >= m_rules.coldAllowedFrom;
    LYCHEEBAY_INVARIANT(target.isUsable(), "work for a target that drains or accepts none");
    LYCHEEBAY_INVARIANT(coldNow || (target.isKnown() && !target.isCold()),
                        "work for a cold or unknown target that another instance may use");
    LYCHEEBAY_INVARIANT(owner || target.outstanding() == 0,
                        "a fallback exceeds one request in flight at a target");
    LYCHEEBAY_INVARIANT(!target.isCold() || target.outstanding() < target.coldLimit(),
                        "a cold target exceeds its cold limit");
    const bool bounded = m_strategy->isBoundedBySlots();
    const bool beyond = kind == AttemptKind::BeyondSlots;
    LYCHEEBAY_INVARIANT(!bounded || beyond || target.outstanding() < target.spec().slots,
                        "a target exceeds its slots");
    LYCHEEBAY_INVARIANT(!beyond || TargetSelector::mayExceedSlots(target, m_rules, now),
                        "a target that is not warm, or more than one request, exceeds the slots");
    LYCHEEBAY_INVARIANT((kind == AttemptKind::Trial) == target.ejection().isEjected(),
                        "work for an ejected target");
}

std::vector<Resolution> CellCore::resolve(TimePoint now)
{
    if (!m_queue.empty()) {
        shedExpired(now);
        refresh(now);
        assignTrial(now);
        assignQueued(now);
        assignBeyondSlots(now);
    }
    return std::exchange(m_pending, {});
}

void CellCore::shedExpired(TimePoint now)
{
    while (RequestState *request = m_queue.earliestDeadline()) {
        if (canFinish(request->traits, now))
            return;
        shedQueued(*request, ShedReason::DeadlineExceeded, now);
    }
}

void CellCore::assignTrial(TimePoint now)
{
    TargetState *trial = m_selector.trial();
    RequestState *request = trial ? queuedFor(*trial) : nullptr;
    if (!request || !maySpareTrial(*request))
        return;
    m_queue.remove(request);
    m_pending.emplace_back(assign(*request, *trial, AttemptKind::Trial, now));
}

void CellCore::assignQueued(TimePoint now)
{
    std::vector<Candidate> &heap = m_selector.candidates();
    std::ranges::make_heap(heap, isSlower);
    while (!m_queue.empty() && !heap.empty()) {
        TargetState &target = *heap.front().target;
        RequestState *request = queuedFor(target);
        // A long queue makes a slow slot worth its time, before the first request waited long.
        const Duration queueDelay =
                request ? now - request->queuedAt + m_selector.waitAt(m_queue.size()) : Duration{};
        const bool wanted = request && m_selector.isAcceptable(heap.front().latency, queueDelay);
        if (wanted)
            assignQueuedTo(*request, target, AttemptKind::Regular, now);
        std::ranges::pop_heap(heap, isSlower);
        const bool bounded = m_strategy->isBoundedBySlots();
        if (wanted && TargetSelector::mayAssign(target, m_rules, bounded, now))
            std::ranges::push_heap(heap, isSlower);
        else
            heap.pop_back();
    }
}

// A slot idles for a round trip between two requests unless the next one waits at the target. One
// request per target covers that; more would wait there while another target becomes free.
void CellCore::assignBeyondSlots(TimePoint now)
{
    std::vector<Candidate> &full = m_selector.fullTargets();
    std::ranges::sort(full, std::less<>{}, &Candidate::latency);
    const double typical = m_selector.meanLatency();
    for (const Candidate &candidate : full) {
        if (m_queue.empty() || candidate.latency > typical)
            return;
        if (RequestState *request = queuedFor(*candidate.target))
            assignQueuedTo(*request, *candidate.target, AttemptKind::BeyondSlots, now);
    }
}

void CellCore::assignQueuedTo(RequestState &request, TargetState &target, AttemptKind kind,
                              TimePoint now)
{
    m_queue.remove(&request);
    m_queue.recordStart(request);
    m_pending.emplace_back(assign(request, target, kind, now));
}

RequestState *CellCore::queuedFor(const TargetState &target) const
{
    RequestState *request = m_queue.front();
    for (int i = 0; request && i < kLookAhead; ++i) {
        if (!TargetSelector::wasTried(*request, target))
            return request;
        request = m_queue.next(request);
    }
    request = m_queue.otherFront();
    return request && !TargetSelector::wasTried(*request, target) ? request : nullptr;
}

void CellCore::shedQueued(RequestState &request, ShedReason reason, TimePoint now)
{
    m_queue.remove(&request);
    m_pending.emplace_back(shedOf(request, reason, now));
}

void CellCore::shedLateLights(TimePoint now)
{
    for (int i = 0; i < kLightsShedPerCall; ++i) {
        RequestState *light = m_queue.newestLight();
        if (!light)
            return;
        const std::size_t position = m_queue.positionFor(false) - 1;
        if (m_selector.waitAt(position) <= waitLimit(light->traits, now))
            return;
        shedQueued(*light, ShedReason::Overloaded, now);
    }
}

bool CellCore::canFinish(const RequestTraits &traits, TimePoint now) const
{
    if (traits.deadline <= now)
        return false;
    // An idle cell tries in any case; otherwise an outdated median could refuse work for ever.
    return m_attempts.empty() || traits.deadline - now >= latencies().median();
}

bool CellCore::maySpareTrial(const RequestState &request) const
{
    return request.traits.idempotent && !request.isHeavy();
}

Duration CellCore::waitLimit(const RequestTraits &traits, TimePoint now) const
{
    const Duration remaining = traits.deadline - now;
    const Duration reserve =
            std::min(latencies().p95(), std::max(latencies().median(), remaining / 2));
    return remaining - reserve;
}

Shed CellCore::shedOf(const RequestState &request, ShedReason reason, TimePoint now)
{
    Duration after = m_selector.waitAt(m_queue.size());
    if (reason == ShedReason::NoTarget && now < m_rules.coldAllowedFrom)
        after = m_rules.coldAllowedFrom - now;
    return { request.id, reason, std::clamp(after, kShortestRetryAfter, kLongestRetryAfter) };
}

} // namespace lycheebay
