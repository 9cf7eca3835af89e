#pragma once

#include "estate/address.h"
#include "estate/estatetypes.h"

#include <compare>
#include <cstdint>
#include <string>

namespace lycheebay {

/// Offset in the configuration stream; the version of a configuration.
using Revision = std::uint64_t;

/// Name of the log stream that carries configuration changes.
inline constexpr char kConfigurationStream[] = "configuration";

/// An entry incarnation recorded in the log. Cells are assigned from the roster.
struct RosterMember
{
    std::string instanceId;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string failureDomain;
    /// Where callers and operators connect.
    Address http;
    /// Where other entry instances connect.
    Address peer;
    Revision joinedAt = 0;

    auto operator<=>(const RosterMember &) const = default;
};

/// One line of the audit trail: a change as it was judged.
struct AuditEntry
{
    Revision offset = 0;
    std::string changeId;
    std::string author;
    WallTime time;
    Revision baseRevision = 0;
    std::string kind;
    /// What the change would do, in one line.
    std::string summary;
    bool accepted = false;
    /// Why it was rejected, naming the change that it conflicts with; empty when accepted.
    std::string reason;

    auto operator<=>(const AuditEntry &) const = default;
};

} // namespace lycheebay
