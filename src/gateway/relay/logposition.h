#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace lycheebay {

/// Position in a log of the platform. When the platform returns from an older copy of its logs, a
/// new era begins in which offsets are given out again, so positions are ordered by era first.
struct LogPosition
{
    LogPosition() = default;
    LogPosition(std::optional<std::uint64_t> logEra, std::uint64_t logOffset)
        : era(logEra)
        , offset(logOffset)
    {}

    /// Null if the platform, or an instance of an earlier version, names none; that is ordered
    /// before every era.
    std::optional<std::uint64_t> era;
    std::uint64_t offset = 0;

    auto operator<=>(const LogPosition &) const = default;
};

} // namespace lycheebay
