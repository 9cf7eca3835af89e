#pragma once

#include <cstdint>
#include <cstdlib>
#include <iostream>

namespace lycheebay {

/// Seed of random runs; LYCHEEBAY_TEST_SEED sets it. Printed, so that a failure can be repeated.
inline std::uint64_t testSeed(const char *test)
{
    constexpr int kDecimal = 10;
    const char *text = std::getenv("LYCHEEBAY_TEST_SEED");
    const std::uint64_t seed = text ? std::strtoull(text, nullptr, kDecimal) : 1;
    std::cout << test << ": LYCHEEBAY_TEST_SEED=" << seed << std::endl;
    return seed;
}

} // namespace lycheebay
