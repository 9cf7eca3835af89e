#pragma once

#include <cstdint>
#include <cstdlib>
#include <iostream>

namespace lycheebay {

/// Returns the seed of a randomized test: LYCHEEBAY_TEST_SEED, or 1 when it is not set. Prints it,
/// so that a failure can be reproduced.
inline std::uint64_t testSeed(const char *test)
{
    constexpr int kDecimal = 10;
    const char *text = std::getenv("LYCHEEBAY_TEST_SEED");
    const std::uint64_t seed = text ? std::strtoull(text, nullptr, kDecimal) : 1;
    std::cout << test << ": LYCHEEBAY_TEST_SEED=" << seed << std::endl;
    return seed;
}

} // namespace lycheebay
