#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace lycheebay {

/// XXH3 of \a text; the same on every instance. Not for secrets. Thread-safe.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);
/// The same for the text that \a parts make up together, without a copy of them. Thread-safe.
std::uint64_t hash64(std::initializer_list<std::string_view> parts, std::uint64_t seed);

} // namespace lycheebay
