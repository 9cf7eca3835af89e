#include "base/invariant.h"
#include "routing/internal/cellcore.h"

#include <algorithm>

namespace lycheebay {

namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
// Number of queued requests that are checked for one that has not tried the target yet.
constexpr int kMaxQueueLookAhead = 8;
// Limits the work of one call; later calls shed the rest.
constexpr int kMaxLowPriorityShedsPerCall = 4;

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
    if (!canMeetDeadline(request.traits, now))
        return makeShed(request, ShedReason::DeadlineExceeded, now);
    refresh(now);
    TargetState *trialTarget = m_selector.trialTarget();
    if (trialTarget && canServeAsTrial(request) && !TargetSelector::wasTried(request, *trialTarget))
        return assign(request, *trialTarget, AttemptKind::Trial, now);
    if (m_selector.inServiceCount() == 0)
        return queueUntilColdAllowed(request, now);
    const bool first =
            request.isHighPriority() ? m_queue.highPriorityCount() == 0 : m_queue.empty();
    if (first) {
        if (std::optional<Assignment> assignment = tryAssign(request, now))
            return *std::move(assignment);
    }
    if (!m_strategy->isBoundedBySlots())
        return makeShed(request, ShedReason::Overloaded, now);
    return enqueue(request, now);
}

Decision CellCore::queueUntilColdAllowed(RequestState &request, TimePoint now)
{
    const bool waits = m_selector.coldNotAllowedCount() > 0 && m_strategy->isBoundedBySlots();
    const bool inTime = m_rules.coldAllowedFrom + latencies().p95() < request.traits.deadline;
    if (!waits || !inTime || m_queue.size() >= m_settings.maxQueued)
        return makeShed(request, ShedReason::NoTarget, now);
    m_queue.push(&request, now);
    return Queued{};
}

std::optional<Assignment> CellCore::tryAssign(RequestState &request, TimePoint now)
{
    TargetState *target = chooseTarget(request);
    if (!target)
        return std::nullopt;
    return assign(request, *target, AttemptKind::Regular, now);
}

TargetState *CellCore::chooseTarget(const RequestState &request)
{
    std::vector<Candidate> &candidates = m_selector.candidates();
    if (!request.triedTargets.empty()) {
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
    const Duration wait = m_selector.estimatedWait(m_queue.positionFor(request.isHighPriority()));
    if (wait > maxQueueWait(request.traits, now))
        return makeShed(request, ShedReason::Overloaded, now);
    if (m_queue.size() >= m_settings.maxQueued) {
        if (!request.isHighPriority() || m_queue.lowPriorityCount() == 0)
            return makeShed(request, ShedReason::Overloaded, now);
        shedQueued(*m_queue.newestLowPriority(), ShedReason::Overloaded, now);
    }
    m_queue.push(&request, now);
    if (request.isHighPriority())
        shedLateLowPriority(now);
    return Queued{};
}

Assignment CellCore::assign(RequestState &request, TargetState &target, AttemptKind kind,
                            TimePoint now)
{
    checkAssignment(target, kind, now);
    target.attemptStarted(now);
    request.triedTargets.push_back(target.ordinal());
    ++request.inFlight;
    const AttemptId id = m_nextAttempt++;
    m_attempts[id] = { request.id, &target, now, kind == AttemptKind::Trial };
    return { request.id, id, target.spec().id, target.spec().address };
}

void CellCore::checkAssignment(const TargetState &target, AttemptKind kind, TimePoint now) const
{
    const bool owner = m_rules.role == DispatchRole::Owner;
    const bool coldAllowed = owner && now >= m_rules.coldAllowedFrom;
    LYCHEEBAY_INVARIANT(target.isUsable(),
                        "assigned to a target that is draining or accepts no work");
    LYCHEEBAY_INVARIANT(coldAllowed || (target.isPhaseKnown() && !target.isCold()),
                        "assigned to a cold or unknown target that another instance may use");
    LYCHEEBAY_INVARIANT(owner || target.outstanding() == 0,
                        "a fallback has more than one request in flight at a target");
    LYCHEEBAY_INVARIANT(!target.isCold() || target.outstanding() < target.coldLimit(),
                        "a cold target exceeds its cold limit");
    const bool bounded = m_strategy->isBoundedBySlots();
    const bool beyond = kind == AttemptKind::BeyondSlots;
    LYCHEEBAY_INVARIANT(!bounded || beyond || target.outstanding() < target.spec().slots,
                        "a target exceeds its slots");
    LYCHEEBAY_INVARIANT(!beyond || TargetSelector::mayExceedSlots(target, m_rules, now),
                        "slots exceeded at a target that is not warm, or by more than one request");
    LYCHEEBAY_INVARIANT((kind == AttemptKind::Trial) == target.outlierDetector().isEjected(),
                        "assigned to an ejected target, or a trial at one in service");
}

std::vector<Resolution> CellCore::processQueue(TimePoint now)
{
    if (!m_queue.empty()) {
        shedExpired(now);
        refresh(now);
        assignTrial(now);
        assignQueued(now);
        assignBeyondSlots(now);
    }
    return std::exchange(m_pendingResolutions, {});
}

void CellCore::shedExpired(TimePoint now)
{
    while (RequestState *request = m_queue.earliestDeadline()) {
        if (canMeetDeadline(request->traits, now))
            return;
        shedQueued(*request, ShedReason::DeadlineExceeded, now);
    }
}

void CellCore::assignTrial(TimePoint now)
{
    TargetState *trialTarget = m_selector.trialTarget();
    RequestState *request = trialTarget ? nextQueuedFor(*trialTarget) : nullptr;
    if (!request || !canServeAsTrial(*request))
        return;
    m_queue.remove(request);
    m_pendingResolutions.emplace_back(assign(*request, *trialTarget, AttemptKind::Trial, now));
}

void CellCore::assignQueued(TimePoint now)
{
    std::vector<Candidate> &heap = m_selector.candidates();
    std::ranges::make_heap(heap, isSlower);
    while (!m_queue.empty() && !heap.empty()) {
        TargetState &target = *heap.front().target;
        RequestState *request = nextQueuedFor(target);
        // The estimated drain time counts too: with a long queue, a slow slot is worth using before
        // the first request has waited long.
        const Duration queueDelay =
                request ? now - request->queuedAt + m_selector.estimatedWait(m_queue.size())
                        : Duration{};
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

// A slot is idle for a round trip between two requests unless the next one already waits at the
// target. One waiting request per target avoids that; further ones would wait there while another
// target becomes free.
void CellCore::assignBeyondSlots(TimePoint now)
{
    std::vector<Candidate> &full = m_selector.fullTargets();
    std::ranges::sort(full, std::less<>{}, &Candidate::latency);
    const double typical = m_selector.meanLatency();
    for (const Candidate &candidate : full) {
        if (m_queue.empty() || candidate.latency > typical)
            return;
        if (RequestState *request = nextQueuedFor(*candidate.target))
            assignQueuedTo(*request, *candidate.target, AttemptKind::BeyondSlots, now);
    }
}

void CellCore::assignQueuedTo(RequestState &request, TargetState &target, AttemptKind kind,
                              TimePoint now)
{
    m_queue.remove(&request);
    m_queue.recordStart(request);
    m_pendingResolutions.emplace_back(assign(request, target, kind, now));
}

RequestState *CellCore::nextQueuedFor(const TargetState &target) const
{
    RequestState *request = m_queue.front();
    for (int i = 0; request && i < kMaxQueueLookAhead; ++i) {
        if (!TargetSelector::wasTried(*request, target))
            return request;
        request = m_queue.next(request);
    }
    request = m_queue.frontOfOtherClass();
    return request && !TargetSelector::wasTried(*request, target) ? request : nullptr;
}

void CellCore::shedQueued(RequestState &request, ShedReason reason, TimePoint now)
{
    m_queue.remove(&request);
    m_pendingResolutions.emplace_back(makeShed(request, reason, now));
}

void CellCore::shedLateLowPriority(TimePoint now)
{
    for (int i = 0; i < kMaxLowPriorityShedsPerCall; ++i) {
        RequestState *request = m_queue.newestLowPriority();
        if (!request)
            return;
        const std::size_t position = m_queue.positionFor(false) - 1;
        if (m_selector.estimatedWait(position) <= maxQueueWait(request->traits, now))
            return;
        shedQueued(*request, ShedReason::Overloaded, now);
    }
}

bool CellCore::canMeetDeadline(const RequestTraits &traits, TimePoint now) const
{
    if (traits.deadline <= now)
        return false;
    // Without attempts in flight the median is not updated, and an outdated one could shed every
    // request for ever, so an idle cell always tries.
    return m_attempts.empty() || traits.deadline - now >= latencies().median();
}

bool CellCore::canServeAsTrial(const RequestState &request) const
{
    return request.traits.idempotent && !request.isHighPriority();
}

Duration CellCore::maxQueueWait(const RequestTraits &traits, TimePoint now) const
{
    const Duration remaining = traits.deadline - now;
    const Duration reserve =
            std::min(latencies().p95(), std::max(latencies().median(), remaining / 2));
    return remaining - reserve;
}

Shed CellCore::makeShed(const RequestState &request, ShedReason reason, TimePoint now)
{
    Duration after = m_selector.estimatedWait(m_queue.size());
    if (reason == ShedReason::NoTarget && now < m_rules.coldAllowedFrom)
        after = m_rules.coldAllowedFrom - now;
    return { request.id, reason, std::clamp(after, kMinRetryAfter, kMaxRetryAfter) };
}

} // namespace lycheebay
