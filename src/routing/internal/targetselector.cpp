#include "routing/internal/targetselector.h"

#include <algorithm>

namespace lycheebay {

namespace {

// Estimates rest on few responses; a smaller factor would leave targets idle by chance.
constexpr double kAvoidFactor = 2.5;
constexpr double kLongestWaitSeconds = 60;

bool hasRoom(const TargetState &target, const RoleRules &rules, bool boundedBySlots, TimePoint now)
{
    if (rules.role == DispatchRole::Fallback)
        return target.outstanding() == 0;
    if (boundedBySlots || target.isCold())
        return target.outstanding() < target.usableLimit(now);
    return !target.isRamping() || target.outstanding() < target.limit();
}

} // namespace

void TargetSelector::refresh(const RoleRules &rules, bool boundedBySlots, double prior,
                             TimePoint now)
{
    m_candidates.clear();
    m_fullTargets.clear();
    m_trial = nullptr;
    m_inService = 0;
    m_waitingForCold = 0;
    m_latencySum = 0;
    m_inverseSum = 0;
    m_rate = 0;
    const auto listed = m_targets.listed();
    for (std::size_t i = 0; i < listed.size(); ++i) {
        TargetState &target = *listed[i];
        if (!target.isUsable())
            continue;
        if (target.ejection().isEjected()) {
            const bool permitted =
                    rules.role == DispatchRole::Owner && now >= rules.coldAllowedFrom;
            if (permitted && target.outstanding() == 0 && target.ejection().isTrialDue(now))
                m_trial = &target;
        } else if (isPermitted(target, rules, now)) {
            addInService(i, rules, boundedBySlots, prior, now);
        } else if (rules.role == DispatchRole::Owner) {
            ++m_waitingForCold;
        }
    }
}

void TargetSelector::addInService(std::size_t position, const RoleRules &rules, bool boundedBySlots,
                                  double prior, TimePoint now)
{
    TargetState &target = *m_targets.listed()[position];
    const double latency = target.estimatedSeconds(prior, now);
    ++m_inService;
    m_latencySum += latency;
    m_inverseSum += 1 / latency;
    // An attempt beyond the slots lengthens the latency, so it counts for the rate too.
    const int running = target.isCold() ? 0 : target.outstanding();
    m_rate += std::max({ 1, target.usableLimit(now), running }) / latency;
    if (hasRoom(target, rules, boundedBySlots, now))
        m_candidates.push_back({ &target, position, latency });
    else if (boundedBySlots && mayExceedSlots(target, rules, now))
        m_fullTargets.push_back({ &target, position, latency });
}

bool TargetSelector::hasUntried(const RequestState &request) const
{
    if (request.tried.size() < m_inService)
        return true;
    return std::ranges::any_of(m_targets.listed(), [&](const TargetState *target) {
        return target->isUsable() && !target->ejection().isEjected() && !wasTried(request, *target);
    });
}

double TargetSelector::referenceLatency() const
{
    return m_inService == 0 ? 0 : static_cast<double>(m_inService) / m_inverseSum;
}

double TargetSelector::meanLatency() const
{
    return m_inService == 0 ? 0 : m_latencySum / static_cast<double>(m_inService);
}

bool TargetSelector::isAcceptable(double latency, Duration waited) const
{
    return latency <= kAvoidFactor * referenceLatency() + toSeconds(waited);
}

Duration TargetSelector::waitAt(std::size_t position) const
{
    if (m_rate <= 0)
        return fromSeconds(kLongestWaitSeconds);
    const double seconds = static_cast<double>(position + 1) / m_rate;
    return fromSeconds(std::min(seconds, kLongestWaitSeconds));
}

bool TargetSelector::mayAssign(const TargetState &target, const RoleRules &rules,
                               bool boundedBySlots, TimePoint now)
{
    return target.isUsable() && !target.ejection().isEjected() && isPermitted(target, rules, now)
           && hasRoom(target, rules, boundedBySlots, now);
}

bool TargetSelector::mayExceedSlots(const TargetState &target, const RoleRules &rules,
                                    TimePoint now)
{
    const int slots = target.spec().slots;
    // A target that sheds what exceeds its slots would shed again.
    if (target.hasShedRecently(now))
        return false;
    return rules.role == DispatchRole::Owner && target.isUsable() && target.isKnown()
           && !target.isCold() && !target.ejection().isEjected() && target.usableLimit(now) == slots
           && target.outstanding() == slots;
}

bool TargetSelector::wasTried(const RequestState &request, const TargetState &target)
{
    return std::ranges::find(request.tried, target.ordinal()) != request.tried.end();
}

bool TargetSelector::isPermitted(const TargetState &target, const RoleRules &rules, TimePoint now)
{
    if (target.isKnown() && !target.isCold())
        return true;
    return rules.role == DispatchRole::Owner && now >= rules.coldAllowedFrom;
}

} // namespace lycheebay
