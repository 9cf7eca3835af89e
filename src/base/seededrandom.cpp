#include "base/seededrandom.h"

#include <random>

namespace lycheebay {

std::uint64_t systemRandomBits()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace lycheebay
