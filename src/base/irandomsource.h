#pragma once

#include <cstdint>

namespace lycheebay {

/// Source of random numbers, injected so that every decision can be replayed from a seed.
class IRandomSource
{
public:
    virtual ~IRandomSource() = default;

    /// Returns 64 random bits. Not thread-safe unless the implementation says so.
    virtual std::uint64_t next() = 0;

    /// Returns a number in [0, bound); the bias is negligible for small bounds. Precondition: \a
    /// bound > 0.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }
    /// Returns a number in [0, 1).
    double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
};

} // namespace lycheebay
