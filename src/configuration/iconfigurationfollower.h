#pragma once

#include "platform/iplatformlog.h"

#include <absl/status/status.h>

namespace lycheebay {

/// Applies configuration records, wherever they come from, in log order.
class IConfigurationFollower
{
public:
    virtual ~IConfigurationFollower() = default;

    /// Applies the records of \a batch that are new. A batch that starts after nextOffset() is
    /// taken only if its first record is a snapshot. Thread-safe. Errors: OutOfRange for a gap,
    /// InvalidArgument for a record that no instance could apply. Nothing changes on an error.
    virtual absl::Status offer(const LogBatch &batch) = 0;

    /// Offset of the next record that this instance lacks. Thread-safe.
    virtual std::uint64_t nextOffset() const = 0;

    /// Returns what this instance holds from \a from on, at most \a maxRecords. When \a from is
    /// older than what it holds, the batch starts with a snapshot record. Thread-safe.
    virtual LogBatch recordsFrom(std::uint64_t from, std::size_t maxRecords) const = 0;
};

} // namespace lycheebay
