#include "routing/internal/targettable.h"

#include "base/invariant.h"

namespace lycheebay {

namespace {

// Without a margin, two targets that fail alike would replace each other at every failure.
constexpr double kFailureScoreMargin = 0.2;

} // namespace

void TargetTable::update(const std::vector<TargetSpec> &specs, TimePoint now)
{
    for (TargetState *target : m_listed)
        target->setListed(false);
    const std::vector<TargetState *> previous = std::move(m_listed);
    m_listed.clear();
    for (const TargetSpec &spec : specs)
        add(spec, now);
    for (TargetState *target : previous)
        removeIfUnused(*target);
    enforceEjectedShare(now);
}

void TargetTable::add(const TargetSpec &spec, TimePoint now)
{
    std::unique_ptr<TargetState> &state = m_targets[spec.id];
    if (!state) {
        state = std::make_unique<TargetState>(spec, m_nextOrdinal++, m_probeCost, now);
    } else if (state->isListed()) {
        return;
    } else {
        state->setListed(true);
        state->update(spec, now);
    }
    state->probes().setSlotShare(m_probeShare * state->spec().slots, now);
    m_listed.push_back(state.get());
}

void TargetTable::removeIfUnused(TargetState &target)
{
    if (target.isListed())
        return;
    if (target.outstanding() == 0)
        m_targets.erase(m_targets.find(target.spec().id));
    else
        target.resetToUnknown();
}

TargetState *TargetTable::find(std::string_view id) const
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : it->second.get();
}

void TargetTable::eject(TargetState &target, TimePoint now)
{
    if (target.outlierDetector().isEjected() || !target.isUsable())
        return;
    EjectedCount count = countEjected();
    if (count.allowed == 0)
        return;
    if (count.ejected >= count.allowed) {
        const double leastFailing = count.leastFailing->outlierDetector().failureScore();
        if (target.outlierDetector().failureScore() < leastFailing + kFailureScoreMargin)
            return;
        readmit(*count.leastFailing, now);
    }
    target.outlierDetector().eject(now);
    count = countEjected();
    LYCHEEBAY_INVARIANT(count.ejected <= count.allowed, "too many targets of a cell are ejected");
}

void TargetTable::adoptEjection(TargetState &target, int ejections, TimePoint nextTrialAt)
{
    const EjectedCount count = countEjected();
    if (target.outlierDetector().isEjected() || count.ejected < count.allowed)
        target.outlierDetector().adoptEjection(ejections, nextTrialAt);
}

void TargetTable::enforceEjectedShare(TimePoint now)
{
    EjectedCount count = countEjected();
    while (count.ejected > count.allowed) {
        readmit(*count.leastFailing, now);
        count = countEjected();
    }
}

void TargetTable::readmit(TargetState &target, TimePoint now)
{
    target.outlierDetector().readmit(now);
    target.resetToCold();
}

TargetTable::EjectedCount TargetTable::countEjected() const
{
    EjectedCount count;
    std::size_t usable = 0;
    for (TargetState *target : m_listed) {
        if (!target->isUsable())
            continue;
        ++usable;
        if (!target->outlierDetector().isEjected())
            continue;
        ++count.ejected;
        if (!count.leastFailing
            || target->outlierDetector().failureScore()
                       < count.leastFailing->outlierDetector().failureScore())
            count.leastFailing = target;
    }
    count.allowed = static_cast<std::size_t>(m_maxEjectedShare * static_cast<double>(usable));
    return count;
}

} // namespace lycheebay
