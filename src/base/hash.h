#pragma once

#include <cstdint>
#include <string_view>

namespace lycheebay {

/// XXH3 of \a text; the same on every instance. Not for secrets. Thread-safe.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

} // namespace lycheebay
