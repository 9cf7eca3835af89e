#include "base/hash.h"

#include <xxhash.h>

namespace lycheebay {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace lycheebay
