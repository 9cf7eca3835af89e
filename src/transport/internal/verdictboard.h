#pragma once

#include "base/iclock.h"
#include "base/stringmap.h"
#include "routing/routingtypes.h"

#include <cstdint>
#include <vector>

namespace lycheebay {

/// A verdict with its place in the order of verdicts on one target.
struct StampedVerdict
{
    TargetVerdict verdict;
    std::uint64_t stamp = 0;
    std::uint64_t origin = 0;

    auto operator<=>(const StampedVerdict &) const = default;
};

/// The newest verdict on each target of the region. Pure; not thread-safe.
class VerdictBoard
{
public:
    explicit VerdictBoard(std::uint64_t selfIncarnation)
        : m_self(selfIncarnation)
    {}

    /// Records own verdicts and returns those that differ from the known ones, to be sent.
    std::vector<StampedVerdict> record(const std::vector<TargetVerdict> &verdicts, TimePoint now);
    /// Takes the verdicts of a peer and returns those that are newer than the known ones.
    std::vector<StampedVerdict> merge(const std::vector<StampedVerdict> &verdicts, TimePoint now);
    /// Returns everything known, with remaining times as of \a now.
    std::vector<StampedVerdict> all(TimePoint now) const;

private:
    struct Entry
    {
        StampedVerdict verdict;
        TimePoint recordedAt;
    };

    std::uint64_t m_self;
    /// Logical time (Lamport, 1978): greater than every stamp seen.
    std::uint64_t m_lastStamp = 0;
    StringMap<Entry> m_entries;
};

} // namespace lycheebay
