#pragma once

#include "configuration/configurationfollower.h"

namespace lycheebay {

struct PollResult
{
    /// Records read from the log.
    std::size_t records = 0;
    /// The log held nothing newer when it was last read.
    bool caughtUp = false;

    auto operator<=>(const PollResult &) const = default;
};

/// Finds the newest usable snapshot among records that pass by in log order. Pure.
class SnapshotFinder
{
public:
    void inspect(const LogBatch &batch);

    /// Returns the snapshot whose later records the log still holds from \a first on; null when
    /// there is none.
    std::optional<SnapshotBody> newest(std::uint64_t first) const;

private:
    std::optional<SnapshotBody> m_newest;
};

/// Reads what is new in the log and gives it to \a follower, in a bounded number of reads. When the
/// log dropped the next record, it starts again from the newest snapshot in the log.
/// Errors: those of IPlatformLog; DataLoss when records were dropped and no snapshot replaces them.
/// Blocks. Thread-safe.
absl::StatusOr<PollResult> pollOnce(IPlatformLog &log, ConfigurationFollower &follower);

} // namespace lycheebay
