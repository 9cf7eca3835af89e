#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <optional>

namespace lycheebay {

/// Returns the OutOfRange error of a read whose offset was dropped; \a first is the oldest offset
/// that the log still holds. Thread-safe.
absl::Status offsetDropped(std::uint64_t first);

/// Returns the first offset that offsetDropped() put into \a status; null when it holds none.
/// Thread-safe.
std::optional<std::uint64_t> firstOffsetOf(const absl::Status &status);

} // namespace lycheebay
