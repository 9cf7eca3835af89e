#include "routing/internal/statusreport.h"

#include <algorithm>

#include <fmt/format.h>

namespace lycheebay {

namespace {

Duration trialIn(const TargetState &target, TimePoint now)
{
    return std::max(Duration::zero(), target.ejection().nextTrial() - now);
}

std::string reasonOf(const TargetState &target, TimePoint now)
{
    if (!target.spec().acceptsWork)
        return "drained or stopped by the configuration";
    if (target.isDraining())
        return "the target reports a graceful shutdown";
    if (target.ejection().isEjected())
        return fmt::format("ejected after failures, next trial in {:.1f} s",
                           toSeconds(trialIn(target, now)));
    if (!target.isKnown())
        return "no response yet";
    if (target.isCold())
        return fmt::format("cold start, at most {} in flight", target.coldLimit());
    if (target.isRamping())
        return fmt::format("slow start, {} of {} slots", target.limit(), target.spec().slots);
    if (target.hasShedRecently(now))
        return "the target shed a request a moment ago";
    if (const int foreign = target.foreignLoad(now); foreign > 0)
        return fmt::format("{} requests of other instances in flight", foreign);
    return {};
}

} // namespace

std::vector<TargetVerdict> verdictsOf(const TargetTable &targets, TimePoint now)
{
    std::vector<TargetVerdict> verdicts;
    for (const TargetState *target : targets.listed()) {
        const Ejection &ejection = target->ejection();
        if (!target->isKnown() && !ejection.isEjected() && !target->isDraining())
            continue;
        TargetVerdict &verdict = verdicts.emplace_back();
        verdict.targetId = target->spec().id;
        verdict.ejected = ejection.isEjected();
        verdict.cold = target->isCold();
        verdict.draining = target->isDraining();
        verdict.ejections = ejection.ejections();
        if (ejection.isEjected())
            verdict.nextTrialIn = trialIn(*target, now);
    }
    return verdicts;
}

std::vector<TargetStatus> statusOf(const TargetTable &targets, double prior, TimePoint now)
{
    std::vector<TargetStatus> all;
    for (const TargetState *target : targets.listed()) {
        TargetStatus &status = all.emplace_back();
        status.id = target->spec().id;
        status.address = target->spec().address;
        status.slots = target->spec().slots;
        status.limit = target->limit();
        status.outstanding = target->outstanding();
        status.recentLatency = fromSeconds(target->estimatedSeconds(prior, now));
        status.acceptsWork = target->spec().acceptsWork;
        status.cold = target->isCold();
        status.ejected = target->ejection().isEjected();
        status.draining = target->isDraining();
        status.reason = reasonOf(*target, now);
        status.probes = target->probes().count();
    }
    return all;
}

} // namespace lycheebay
