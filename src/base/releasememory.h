#pragma once

#include <utility>

namespace lycheebay {

/// Sets \a value to its default and frees its memory at once. An assignment may keep the memory: a
/// long string that an empty one is moved to does. Thread-safe for different values.
template <typename T>
void releaseMemory(T &value)
{
    T released{};
    std::swap(value, released);
}

} // namespace lycheebay
