#pragma once

#include "configuration/configurationhistory.h"
#include "configuration/configurationtypes.h"

#include <absl/status/statusor.h>

#include <string_view>
#include <variant>
#include <vector>

namespace lycheebay {

inline constexpr std::size_t kMaxRecordBytes = std::size_t(8) << 20;

/// Replaces the whole estate.
struct SheetBody
{
    EstateData estate;
    /// Later changes that the sheet replaces knowingly.
    std::vector<Revision> supersedes;
    auto operator<=>(const SheetBody &) const = default;
};

struct DrainDomainBody
{
    std::string name;
    auto operator<=>(const DrainDomainBody &) const = default;
};

struct RestoreDomainBody
{
    std::string name;
    auto operator<=>(const RestoreDomainBody &) const = default;
};

struct DrainTargetBody
{
    std::string id;
    auto operator<=>(const DrainTargetBody &) const = default;
};

struct RestoreTargetBody
{
    std::string id;
    auto operator<=>(const RestoreTargetBody &) const = default;
};

struct AddStopBody
{
    PlannedStop stop;
    auto operator<=>(const AddStopBody &) const = default;
};

struct RemoveStopBody
{
    std::string id;
    auto operator<=>(const RemoveStopBody &) const = default;
};

/// An entry incarnation begins; it replaces an older one of the same instance id.
struct JoinBody
{
    /// `joinedAt` is set when the change is applied.
    RosterMember member;
    auto operator<=>(const JoinBody &) const = default;
};

/// An entry incarnation ended.
struct LeaveBody
{
    std::string instanceId;
    std::uint64_t incarnation = 0;
    auto operator<=>(const LeaveBody &) const = default;
};

/// The whole state after the records before `nextOffset`.
struct SnapshotBody
{
    Revision revision = 0;
    std::uint64_t nextOffset = 0;
    EstateData estate;
    std::vector<RosterMember> roster;
    std::vector<AuditEntry> audit;
    ConfigurationHistory history;
    auto operator<=>(const SnapshotBody &) const = default;
};

using ChangeBody = std::variant<SheetBody, DrainDomainBody, RestoreDomainBody, DrainTargetBody,
                                RestoreTargetBody, AddStopBody, RemoveStopBody, JoinBody, LeaveBody,
                                SnapshotBody>;

/// One record of the configuration stream.
struct Change
{
    /// Unique; the same id again changes nothing.
    std::string id;
    std::string author;
    WallTime time;
    /// Revision that the author saw.
    Revision baseRevision = 0;
    ChangeBody body;

    auto operator<=>(const Change &) const = default;
};

/// Returns "sheet", "drain-domain", "restore-domain", "drain-target", "restore-target", "add-stop",
/// "remove-stop", "join", "leave" or "snapshot". Thread-safe.
const char *changeKind(const ChangeBody &body);

/// Tells whether operators publish changes of this kind. Thread-safe.
bool isOperatorChange(const ChangeBody &body);

/// Errors: InvalidArgument when decodeChange() would reject the result. Thread-safe.
absl::StatusOr<std::string> encodeChange(const Change &change);

/// Strict: an unknown kind, an unknown or missing field or an invalid estate is an error.
/// Errors: InvalidArgument naming the fault. Thread-safe.
absl::StatusOr<Change> decodeChange(std::string_view record);

/// Tells cheaply whether \a record was encoded from a snapshot; it may still be malformed.
/// Thread-safe.
bool looksLikeSnapshot(std::string_view record);

} // namespace lycheebay
