#pragma once

#include "base/iclock.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheebay {

/// Tells whether \a text is 1 to 64 characters of [A-Za-z0-9._-]. Thread-safe.
bool isName(std::string_view text);

/// Tells whether \a text is well-formed UTF-8 (RFC 3629). Thread-safe.
bool isUtf8(std::string_view text);

/// Formats as "2026-12-04T09:30:00Z", with milliseconds only when they are not zero. Thread-safe.
std::string formatWallTime(WallTime time);

/// Parses what formatWallTime() writes; null for anything else. Thread-safe.
std::optional<WallTime> parseWallTime(std::string_view text);

} // namespace lycheebay
