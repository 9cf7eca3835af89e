#pragma once

#include "routing/routingtypes.h"

#include <optional>
#include <string_view>

namespace lycheebay {

inline constexpr char kLoadHeader[] = "Lycheebay-Load";
/// Set to "1" by whoever refuses a request that it certainly did not start.
inline constexpr char kNotRunHeader[] = "Lycheebay-Not-Run";
inline constexpr char kDeadlineHeader[] = "Lycheebay-Deadline-Ms";
inline constexpr char kTenantHeader[] = "Lycheebay-Tenant";
inline constexpr char kForwardedHeader[] = "Lycheebay-Forwarded";
/// Set by entries on refusals: "not-run" or "unknown".
inline constexpr char kOutcomeHeader[] = "Lycheebay-Outcome";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";

/// Parses "inflight=2;slots=3;phase=warm;start=17"; null unless every field is there once and
/// valid. Thread-safe.
std::optional<LoadReport> parseLoadHeader(std::string_view text);

} // namespace lycheebay
