#include "routing/internal/statusreport.h"

#include <algorithm>

#include <fmt/format.h>

namespace lycheebay {

namespace {

Duration timeUntilTrial(const TargetState &target, TimePoint now)
{
    return std::max(Duration::zero(), target.outlierDetector().nextTrialAt() - now);
}

std::string limitReason(const TargetState &target, TimePoint now)
{
    if (!target.spec().acceptsWork)
        return "drained or stopped by the configuration";
    if (target.isDraining())
        return "the target reports a graceful shutdown";
    if (target.outlierDetector().isEjected())
        return fmt::format("ejected after failures, next trial in {:.1f} s",
                           toSeconds(timeUntilTrial(target, now)));
    if (!target.isPhaseKnown())
        return "no response yet";
    if (target.isCold())
        return fmt::format("cold start, at most {} in flight", target.coldLimit());
    if (target.isInSlowStart())
        return fmt::format("slow start, {} of {} slots", target.limit(), target.spec().slots);
    if (target.hasShedRecently(now))
        return "the target shed a request a moment ago";
    if (const int external = target.externalLoad(now); external > 0)
        return fmt::format("{} requests of other instances in flight", external);
    return {};
}

} // namespace

std::vector<TargetVerdict> verdictsOf(const TargetTable &targets, TimePoint now)
{
    std::vector<TargetVerdict> verdicts;
    for (const TargetState *target : targets.listed()) {
        const OutlierDetector &outlierDetector = target->outlierDetector();
        if (!target->isPhaseKnown() && !outlierDetector.isEjected() && !target->isDraining())
            continue;
        TargetVerdict &verdict = verdicts.emplace_back();
        verdict.targetId = target->spec().id;
        verdict.ejected = outlierDetector.isEjected();
        verdict.cold = target->isCold();
        verdict.draining = target->isDraining();
        verdict.ejections = outlierDetector.ejections();
        if (outlierDetector.isEjected())
            verdict.nextTrialIn = timeUntilTrial(*target, now);
    }
    return verdicts;
}

std::vector<TargetStatus> statusOf(const TargetTable &targets, double prior, TimePoint now)
{
    std::vector<TargetStatus> statuses;
    for (const TargetState *target : targets.listed()) {
        TargetStatus &status = statuses.emplace_back();
        status.id = target->spec().id;
        status.address = target->spec().address;
        status.slots = target->spec().slots;
        status.limit = target->limit();
        status.outstanding = target->outstanding();
        status.recentLatency = fromSeconds(target->estimatedSeconds(prior, now));
        status.acceptsWork = target->spec().acceptsWork;
        status.cold = target->isCold();
        status.ejected = target->outlierDetector().isEjected();
        status.draining = target->isDraining();
        status.reason = limitReason(*target, now);
        status.probes = target->probes().count();
    }
    return statuses;
}

} // namespace lycheebay
