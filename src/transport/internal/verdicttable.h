#pragma once

#include "base/iclock.h"
#include "base/stringmap.h"
#include "routing/routingtypes.h"

#include <cstdint>
#include <vector>

namespace lycheebay {

/// A verdict with a version: of two verdicts on one target, the greater pair (stamp, origin) is
/// newer.
struct StampedVerdict
{
    TargetVerdict verdict;
    /// Lamport timestamp.
    std::uint64_t stamp = 0;
    /// Incarnation that issued the verdict.
    std::uint64_t origin = 0;

    auto operator<=>(const StampedVerdict &) const = default;
};

/// The newest verdict on each target of the region. Performs no I/O; not thread-safe.
class VerdictTable
{
public:
    explicit VerdictTable(std::uint64_t selfIncarnation)
        : m_selfIncarnation(selfIncarnation)
    {}

    /// Stores local verdicts and returns those that differ from the known ones and must be sent.
    std::vector<StampedVerdict> record(const std::vector<TargetVerdict> &verdicts, TimePoint now);
    /// Merges a peer's verdicts and returns those that are newer than the known ones.
    std::vector<StampedVerdict> merge(const std::vector<StampedVerdict> &verdicts, TimePoint now);
    /// Returns all verdicts, with nextTrialIn adjusted to \a now.
    std::vector<StampedVerdict> all(TimePoint now) const;

private:
    struct Entry
    {
        StampedVerdict verdict;
        TimePoint recordedAt;
    };

    std::uint64_t m_selfIncarnation;
    /// Lamport clock: the greatest stamp issued or received.
    std::uint64_t m_lastStamp = 0;
    StringMap<Entry> m_entries;
};

} // namespace lycheebay
