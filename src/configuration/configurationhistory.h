#pragma once

#include "configuration/configurationtypes.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace lycheebay {

/// The verdict on a recent change.
struct SeenChange
{
    std::string id;
    Revision offset = 0;
    bool accepted = false;
    /// Id of the change that it conflicts with; empty when there is none.
    std::string conflictsWith;

    auto operator<=>(const SeenChange &) const = default;
};

/// What the rule that applies changes remembers beyond the configuration itself.
struct ConfigurationHistory
{
    /// Oldest first, bounded.
    std::vector<SeenChange> seen;
    /// Last change of each object, such as "target kat-1"; removed objects are kept for a while.
    std::map<std::string, Revision> objectRevisions;
    /// Accepted changes by operators, oldest first, bounded.
    std::vector<Revision> operatorChanges;
    /// Newest change that fell out of operatorChanges. A sheet based on an older revision is a
    /// conflict, because it can no longer be told what it would overwrite.
    Revision forgottenOperatorChange = 0;
    /// Newest removed object that fell out of objectRevisions. A planned stop added against an
    /// older revision is rejected, because its id may have been used and removed since.
    Revision forgottenObject = 0;
    Revision snapshotOffset = 0;
    /// Time of the last snapshot, or of the first record when there is none.
    WallTime snapshotTime;
    std::uint64_t changesSinceSnapshot = 0;

    auto operator<=>(const ConfigurationHistory &) const = default;
};

} // namespace lycheebay
