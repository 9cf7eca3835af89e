#include "routing/internal/targettable.h"

#include "base/invariant.h"

namespace lycheebay {

namespace {

// Without a margin, two equally bad targets would replace each other at every failure.
constexpr double kBadnessMargin = 0.2;

} // namespace

void TargetTable::update(const std::vector<TargetSpec> &specs, TimePoint now)
{
    for (TargetState *target : m_listed)
        target->setListed(false);
    const std::vector<TargetState *> before = std::move(m_listed);
    m_listed.clear();
    for (const TargetSpec &spec : specs)
        add(spec, now);
    for (TargetState *target : before)
        releaseIfGone(*target);
    enforceEjectedShare(now);
}

void TargetTable::add(const TargetSpec &spec, TimePoint now)
{
    std::unique_ptr<TargetState> &slot = m_targets[spec.id];
    if (!slot) {
        slot = std::make_unique<TargetState>(spec, m_nextOrdinal++, m_probeCost, now);
    } else if (slot->isListed()) {
        return;
    } else {
        slot->setListed(true);
        slot->update(spec, now);
    }
    slot->probes().setSlotShare(m_probeShare * slot->spec().slots, now);
    m_listed.push_back(slot.get());
}

void TargetTable::releaseIfGone(TargetState &target)
{
    if (target.isListed())
        return;
    if (target.outstanding() == 0)
        m_targets.erase(m_targets.find(target.spec().id));
    else
        target.forget();
}

TargetState *TargetTable::find(std::string_view id) const
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : it->second.get();
}

void TargetTable::eject(TargetState &target, TimePoint now)
{
    if (target.ejection().isEjected() || !target.isUsable())
        return;
    EjectedCount count = countEjected();
    if (count.allowed == 0)
        return;
    if (count.ejected >= count.allowed) {
        const double leastBad = count.leastBad->ejection().badness();
        if (target.ejection().badness() < leastBad + kBadnessMargin)
            return;
        readmit(*count.leastBad, now);
    }
    target.ejection().eject(now);
    count = countEjected();
    LYCHEEBAY_INVARIANT(count.ejected <= count.allowed, "too many targets of a cell are ejected");
}

void TargetTable::adoptEjection(TargetState &target, int ejections, TimePoint nextTrial)
{
    const EjectedCount count = countEjected();
    if (target.ejection().isEjected() || count.ejected < count.allowed)
        target.ejection().adopt(ejections, nextTrial);
}

void TargetTable::enforceEjectedShare(TimePoint now)
{
    EjectedCount count = countEjected();
    while (count.ejected > count.allowed) {
        readmit(*count.leastBad, now);
        count = countEjected();
    }
}

void TargetTable::readmit(TargetState &target, TimePoint now)
{
    target.ejection().readmit(now);
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
        if (!target->ejection().isEjected())
            continue;
        ++count.ejected;
        if (!count.leastBad || target->ejection().badness() < count.leastBad->ejection().badness())
            count.leastBad = target;
    }
    count.allowed = static_cast<std::size_t>(m_maxEjectedShare * static_cast<double>(usable));
    return count;
}

} // namespace lycheebay
