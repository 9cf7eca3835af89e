#pragma once

#include "base/irandomsource.h"

namespace lycheebay {

/// SplitMix64 (Steele, Lea and Flood, 2014): the same seed gives the same sequence.
/// Not thread-safe: one instance per owner.
class SeededRandom final : public IRandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_state(seed)
    {}

    std::uint64_t next() override
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t bits = m_state;
        bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
        bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
        return bits ^ (bits >> 31);
    }

private:
    std::uint64_t m_state;
};

/// Returns 64 bits from the operating system. Thread-safe.
std::uint64_t systemRandomBits();

} // namespace lycheebay
