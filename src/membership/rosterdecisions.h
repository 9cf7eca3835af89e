#pragma once

#include "configuration/configurationtypes.h"
#include "membership/cellplan.h"
#include "membership/membertable.h"

#include <vector>

namespace lycheebay {

/// Builds the plan from the roster members that are usable according to \a table; it is empty when
/// the roster is. Precondition: the roster was passed to MemberTable::setRoster(). Thread-safe.
IntrusivePtr<const CellPlan> buildCellPlan(const std::vector<RosterMember> &roster,
                                           const MemberTable &table);

/// Returns the dead roster members for which this instance has to append a `leave` record to the
/// log. These are the dead members of its own region if it has the lowest instance id of the live
/// entries there; otherwise there are none. It is harmless when two instances append the same
/// record. Thread-safe.
std::vector<RosterMember> membersToRemove(const std::vector<RosterMember> &roster,
                                          const MemberTable &table, TimePoint now);

/// Returns whether the roster contains \a self and no other instance of its region. Thread-safe.
bool isAloneInRegion(const std::vector<RosterMember> &roster, const RosterMember &self);

} // namespace lycheebay
