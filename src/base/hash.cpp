#include "base/hash.h"

// Declares the state of a hash, so that it needs no allocation.
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace lycheebay {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hash64(std::initializer_list<std::string_view> parts, std::uint64_t seed)
{
    XXH3_state_t state;
    XXH3_64bits_reset_withSeed(&state, seed);
    for (const std::string_view it : parts)
        XXH3_64bits_update(&state, it.data(), it.size());
    return XXH3_64bits_digest(&state);
}

} // namespace lycheebay
