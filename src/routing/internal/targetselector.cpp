#include "routing/internal/targetselector.h"

#include <algorithm>

namespace lycheebay {

namespace {

// Estimates are based on few responses; a smaller factor would leave targets idle by chance.
constexpr double kMaxLatencyFactor = 2.5;
constexpr double kMaxWaitSeconds = 60;

bool hasCapacity(const TargetState &target, const RoleRules &rules, bool boundedBySlots,
                 TimePoint now)
{
    if (rules.role == DispatchRole::Fallback)
        return target.outstanding() == 0;
    if (boundedBySlots || target.isCold())
        return target.outstanding() < target.usableLimit(now);
    return !target.isInSlowStart() || target.outstanding() < target.limit();
}

} // namespace

void TargetSelector::refresh(const RoleRules &rules, bool boundedBySlots, double prior,
                             TimePoint now)
{
    m_candidates.clear();
    m_fullTargets.clear();
    m_trialTarget = nullptr;
    m_inServiceCount = 0;
    m_coldNotAllowedCount = 0;
    m_latencySum = 0;
    m_inverseLatencySum = 0;
    m_serviceRate = 0;
    const auto listed = m_targets.listed();
    for (std::size_t i = 0; i < listed.size(); ++i) {
        TargetState &target = *listed[i];
        if (!target.isUsable())
            continue;
        if (target.outlierDetector().isEjected()) {
            const bool permitted =
                    rules.role == DispatchRole::Owner && now >= rules.coldAllowedFrom;
            if (permitted && target.outstanding() == 0 && target.outlierDetector().isTrialDue(now))
                m_trialTarget = &target;
        } else if (isPermitted(target, rules, now)) {
            addInService(i, rules, boundedBySlots, prior, now);
        } else if (rules.role == DispatchRole::Owner) {
            ++m_coldNotAllowedCount;
        }
    }
}

void TargetSelector::addInService(std::size_t position, const RoleRules &rules, bool boundedBySlots,
                                  double prior, TimePoint now)
{
    TargetState &target = *m_targets.listed()[position];
    const double latency = target.estimatedSeconds(prior, now);
    ++m_inServiceCount;
    m_latencySum += latency;
    m_inverseLatencySum += 1 / latency;
    // An attempt beyond the slots raises the latency estimate, so it must count in the rate too.
    const int running = target.isCold() ? 0 : target.outstanding();
    m_serviceRate += std::max({ 1, target.usableLimit(now), running }) / latency;
    if (hasCapacity(target, rules, boundedBySlots, now))
        m_candidates.push_back({ &target, position, latency });
    else if (boundedBySlots && mayExceedSlots(target, rules, now))
        m_fullTargets.push_back({ &target, position, latency });
}

bool TargetSelector::hasUntriedTarget(const RequestState &request) const
{
    if (request.triedTargets.size() < m_inServiceCount)
        return true;
    return std::ranges::any_of(m_targets.listed(), [&](const TargetState *target) {
        return target->isUsable() && !target->outlierDetector().isEjected()
               && !wasTried(request, *target);
    });
}

double TargetSelector::referenceLatency() const
{
    return m_inServiceCount == 0 ? 0 : static_cast<double>(m_inServiceCount) / m_inverseLatencySum;
}

double TargetSelector::meanLatency() const
{
    return m_inServiceCount == 0 ? 0 : m_latencySum / static_cast<double>(m_inServiceCount);
}

bool TargetSelector::isAcceptable(double latency, Duration waited) const
{
    return latency <= kMaxLatencyFactor * referenceLatency() + toSeconds(waited);
}

Duration TargetSelector::estimatedWait(std::size_t position) const
{
    if (m_serviceRate <= 0)
        return fromSeconds(kMaxWaitSeconds);
    const double seconds = static_cast<double>(position + 1) / m_serviceRate;
    return fromSeconds(std::min(seconds, kMaxWaitSeconds));
}

bool TargetSelector::mayAssign(const TargetState &target, const RoleRules &rules,
                               bool boundedBySlots, TimePoint now)
{
    return target.isUsable() && !target.outlierDetector().isEjected()
           && isPermitted(target, rules, now) && hasCapacity(target, rules, boundedBySlots, now);
}

bool TargetSelector::mayExceedSlots(const TargetState &target, const RoleRules &rules,
                                    TimePoint now)
{
    const int slots = target.spec().slots;
    // The target may shed every request that exceeds its slots.
    if (target.hasShedRecently(now))
        return false;
    return rules.role == DispatchRole::Owner && target.isUsable() && target.isPhaseKnown()
           && !target.isCold() && !target.outlierDetector().isEjected()
           && target.usableLimit(now) == slots && target.outstanding() == slots;
}

bool TargetSelector::wasTried(const RequestState &request, const TargetState &target)
{
    return std::ranges::find(request.triedTargets, target.ordinal()) != request.triedTargets.end();
}

bool TargetSelector::isPermitted(const TargetState &target, const RoleRules &rules, TimePoint now)
{
    if (target.isPhaseKnown() && !target.isCold())
        return true;
    return rules.role == DispatchRole::Owner && now >= rules.coldAllowedFrom;
}

} // namespace lycheebay
