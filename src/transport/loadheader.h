#pragma once

#include "routing/routingtypes.h"

#include <optional>
#include <string_view>

namespace lycheebay {

/// The load of a target, see parseLoadHeader().
inline constexpr char kLoadHeader[] = "Lycheebay-Load";
/// Set to "1" on a refusal by a server that has certainly not started the request.
inline constexpr char kNotRunHeader[] = "Lycheebay-Not-Run";
/// Time that remains for the request, in milliseconds.
inline constexpr char kDeadlineHeader[] = "Lycheebay-Deadline-Ms";
inline constexpr char kTenantHeader[] = "Lycheebay-Tenant";
inline constexpr char kForwardedHeader[] = "Lycheebay-Forwarded";
/// Set by entries on refusals, to "not-run" or "unknown".
inline constexpr char kOutcomeHeader[] = "Lycheebay-Outcome";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";

/// Parses a load report such as "inflight=2;slots=3;phase=warm;start=17". Returns nullopt unless
/// every field is present exactly once, in this order, and valid. Thread-safe.
std::optional<LoadReport> parseLoadHeader(std::string_view text);

} // namespace lycheebay
