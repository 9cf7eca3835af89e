#pragma once

#include <malloc.h>

#include <cstddef>

namespace lycheebay {

/// Returns the bytes that this process has allocated and not freed. Thread-safe.
inline std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace lycheebay
