#pragma once

#include "estate/address.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lycheebay {

/// An entry instance as the roster names it, with what it has applied.
struct EntryProgress
{
    std::string instanceId;
    Address address;
    /// 0 when it could not be asked.
    std::uint64_t nextOffset = 0;
    /// Why it could not be asked; empty when it answered.
    std::string fault;

    auto operator<=>(const EntryProgress &) const = default;
};

/// What an entry answered to a published change.
struct PublishAnswer
{
    std::uint64_t offset = 0;
    bool accepted = false;
    std::string reason;
    std::string conflictsWith;
    /// What the change does, one line an object.
    std::vector<std::string> difference;

    auto operator<=>(const PublishAnswer &) const = default;
};

/// Talks to the administration interface of one entry. Blocks; used by one thread.
///
/// Errors of all methods: Unavailable when the entry certainly did nothing, Unknown when it may
/// have acted, InvalidArgument, NotFound or FailedPrecondition as the entry answered.
class AdminClient
{
public:
    explicit AdminClient(Address entry);

    absl::StatusOr<std::string> get(const std::string &path) const;
    absl::StatusOr<PublishAnswer> publish(const std::string &encodedChange, bool dryRun) const;
    absl::StatusOr<std::uint64_t> revision() const;
    /// Lists the roster and asks each of its members what it has applied.
    absl::StatusOr<std::vector<EntryProgress>> progress() const;

private:
    Address m_entry;
};

} // namespace lycheebay
