#pragma once

#include "configuration/change.h"
#include "configuration/changeapplier.h"
#include "configuration/configurationstate.h"

#include <optional>

namespace lycheebay {

/// What the rule concludes about one change.
struct ChangeApplier::Verdict
{
    bool accepted = false;
    std::string reason;
    std::string conflictsWith;
    std::string summary;
    /// Objects that the change changes.
    std::vector<std::string> objects;
    /// The new values; null when the change leaves them alone.
    std::optional<EstateData> estate;
    std::optional<std::vector<RosterMember>> roster;
};

/// Judges the bodies of a change against a state.
class ChangeApplier::BodyApplier
{
public:
    BodyApplier(const ConfigurationState &state, Revision offset, Revision base)
        : m_state(state)
        , m_offset(offset)
        , m_base(base)
    {}

    Verdict operator()(const SheetBody &body) const;
    Verdict operator()(const DrainDomainBody &body) const { return setDomain(body.name, true); }
    Verdict operator()(const RestoreDomainBody &body) const { return setDomain(body.name, false); }
    Verdict operator()(const DrainTargetBody &body) const { return setTarget(body.id, true); }
    Verdict operator()(const RestoreTargetBody &body) const { return setTarget(body.id, false); }
    Verdict operator()(const AddStopBody &body) const;
    Verdict operator()(const RemoveStopBody &body) const;
    Verdict operator()(const JoinBody &body) const;
    Verdict operator()(const LeaveBody &body) const;
    Verdict operator()(const SnapshotBody &body) const;

private:
    static Verdict rejection(std::string reason, std::string summary);
    Verdict setDomain(const std::string &name, bool drained) const;
    Verdict setTarget(const std::string &id, bool drained) const;
    /// Returns a rejection when \a key changed after the base revision.
    std::optional<Verdict> conflict(const std::string &key) const;
    Verdict conflictWith(Revision offset, std::string summary) const;
    /// Accepts \a data unless it has a fault; finds the objects that differ.
    Verdict acceptEstate(EstateData data, std::string summary) const;
    /// Accepts a change of one object that cannot make the estate faulty; checking 20,000 targets
    /// for each drain takes over 100 ms.
    static Verdict acceptObject(EstateData data, std::string key, std::string summary);

    const ConfigurationState &m_state;
    Revision m_offset;
    Revision m_base;
};

} // namespace lycheebay
