#include "routing/internal/cellcore.h"

#include "base/invariant.h"

#include <algorithm>

namespace lycheebay {

namespace {

constexpr Duration kDefaultHedgeDelay = std::chrono::milliseconds(50);
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(1);
// For this long, a fallback trusts its own outcomes more than the verdicts of the owner.
constexpr Duration kOwnOutcomeValidity = std::chrono::seconds(5);

} // namespace

CellCore::CellCore(DispatcherSettings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_strategy(makeStrategy(settings.strategy))
    , m_targets(settings.maxEjectedShare, settings.measuringShare / 2, settings.probeCost)
    , m_selector(m_targets)
    , m_recorder(m_targets)
    , m_retryBudget(settings.retryShare)
    , m_hedgeBudget(settings.hedgeShare)
{}

std::vector<Resolution> CellCore::updateTargets(const std::vector<TargetSpec> &targets,
                                                TimePoint now)
{
    m_targets.update(targets, now);
    return processQueue(now);
}

std::vector<Resolution> CellCore::setRole(DispatchRole role, TimePoint coldAllowedFrom,
                                          TimePoint now)
{
    m_rules = { role, coldAllowedFrom };
    return processQueue(now);
}

Decision CellCore::submit(RequestId request, const RequestTraits &traits, TimePoint now)
{
    auto &state = m_requests[request];
    LYCHEEBAY_INVARIANT(!state, "a request was submitted twice");
    if (state)
        return Shed{ request, ShedReason::Overloaded, {} };
    state = std::make_unique<RequestState>();
    state->id = request;
    state->traits = traits;
    m_retryBudget.deposit();
    if (traits.idempotent)
        m_hedgeBudget.deposit();
    return place(*state, now);
}

Decision CellCore::retry(RequestId request, TimePoint now)
{
    const auto it = m_requests.find(request);
    LYCHEEBAY_INVARIANT(it != m_requests.end(), "a retry for an unknown request");
    if (it == m_requests.end())
        return Shed{ request, ShedReason::NoTarget, {} };
    RequestState &state = *it->second;
    LYCHEEBAY_INVARIANT(state.inFlight == 0 && !state.queued,
                        "a retry for a request that is in flight or queued");
    if (state.inFlight > 0 || state.queued)
        return makeShed(state, ShedReason::RetryBudget, now);
    refresh(now);
    if (!m_selector.hasUntriedTarget(state))
        return makeShed(state, ShedReason::NoTarget, now);
    if (!m_retryBudget.tryWithdraw())
        return makeShed(state, ShedReason::RetryBudget, now);
    LYCHEEBAY_INVARIANT(m_retryBudget.isWithinBudget(), "retries exceed the retry budget");
    return place(state, now);
}

std::optional<Assignment> CellCore::hedge(RequestId request, TimePoint now)
{
    const auto it = m_requests.find(request);
    if (it == m_requests.end() || !m_queue.empty())
        return std::nullopt;
    RequestState &state = *it->second;
    if (!state.traits.idempotent || state.inFlight == 0 || !canMeetDeadline(state.traits, now))
        return std::nullopt;
    refresh(now);
    TargetState *target = chooseTarget(state);
    if (!target || target->isCold() || !m_hedgeBudget.tryWithdraw())
        return std::nullopt;
    return assign(state, *target, AttemptKind::Regular, now);
}

Duration CellCore::hedgeDelay() const
{
    const Duration p95 = latencies().p95();
    return p95 > Duration::zero() ? std::max(p95, kMinHedgeDelay) : kDefaultHedgeDelay;
}

std::vector<Resolution> CellCore::complete(AttemptId attempt, const AttemptResult &result,
                                           TimePoint now)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return {};
    const Attempt ended = it->second;
    m_attempts.erase(it);
    ended.target->attemptEnded(ended.startedAt, now);
    if (const auto found = m_requests.find(ended.request); found != m_requests.end())
        --found->second->inFlight;
    m_recorder.recordAttempt(ended, result, now);
    if (m_strategy->isBoundedBySlots())
        m_recorder.resetToColdIfSlow(*ended.target, m_selector.referenceLatency(), now);
    m_targets.removeIfUnused(*ended.target);
    return processQueue(now);
}

void CellCore::finish(RequestId request)
{
    const auto it = m_requests.find(request);
    if (it == m_requests.end())
        return;
    if (it->second->queued)
        m_queue.remove(it->second.get());
    std::erase_if(m_pendingResolutions, [request](const Resolution &resolution) {
        return std::visit([](const auto &fate) { return fate.request; }, resolution) == request;
    });
    m_requests.erase(it);
}

std::vector<Resolution> CellCore::tick(TimePoint now)
{
    m_targets.enforceEjectedShare(now);
    if (m_strategy->isBoundedBySlots()) {
        refresh(now);
        for (TargetState *target : m_targets.listed())
            m_recorder.resetToColdIfSlow(*target, m_selector.referenceLatency(), now);
    }
    return processQueue(now);
}

std::vector<Probe> CellCore::dueProbes(TimePoint now)
{
    std::vector<Probe> due;
    if (m_rules.role != DispatchRole::Owner)
        return due;
    for (TargetState *target : m_targets.listed()) {
        // A probe would exceed the limit of a cold target that is already at its limit.
        const bool busy = target->isCold() && target->outstanding() >= target->coldLimit();
        if (!target->spec().acceptsWork || busy)
            continue;
        if (!target->probes().isDue(target->lastResponse(), now))
            continue;
        target->probes().start(now);
        due.push_back({ target->spec().id, target->spec().address });
    }
    return due;
}

std::vector<Resolution> CellCore::completeProbe(std::string_view targetId,
                                                const std::optional<LoadReport> &load,
                                                TimePoint now)
{
    TargetState *target = m_targets.find(targetId);
    if (!target)
        return {};
    target->probes().finish();
    m_recorder.recordProbe(*target, load, now);
    return processQueue(now);
}

void CellCore::adoptVerdict(const TargetVerdict &verdict, TimePoint now)
{
    TargetState *target = m_targets.find(verdict.targetId);
    if (!target)
        return;
    const bool hasOutcomes = target->lastOutcome() != TimePoint();
    const bool recent = now - target->lastOutcome() < kOwnOutcomeValidity;
    if (hasOutcomes && (recent || m_rules.role == DispatchRole::Owner))
        return;
    if (verdict.cold)
        target->adoptCold();
    else
        target->adoptWarm();
    if (verdict.draining)
        target->adoptDraining(now);
    if (verdict.ejected)
        m_targets.adoptEjection(*target, verdict.ejections, now + verdict.nextTrialIn);
    else if (target->outlierDetector().isEjected())
        TargetTable::readmit(*target, now);
    m_targets.enforceEjectedShare(now);
}

} // namespace lycheebay
