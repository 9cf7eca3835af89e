#pragma once

#include "configuration/configurationtypes.h"
#include "membership/cellplan.h"
#include "membership/membertable.h"

#include <vector>

namespace lycheebay {

/// Returns the plan of the roster members that \a table holds to be alive; it is empty while the
/// roster is. Precondition: the table has this roster. Thread-safe.
IntrusivePtr<const CellPlan> buildCellPlan(const std::vector<RosterMember> &roster,
                                           const MemberTable &table);

/// Returns the dead roster members for which this instance has to append `leave`: those of its own
/// region, when it is the live entry with the lowest instance id there. Two instances that both
/// decide so are harmless. Thread-safe.
std::vector<RosterMember> membersToRemove(const std::vector<RosterMember> &roster,
                                          const MemberTable &table, TimePoint now);

/// Tells whether the roster names \a self and no other instance of its region. Thread-safe.
bool isAloneInRegion(const std::vector<RosterMember> &roster, const RosterMember &self);

} // namespace lycheebay
