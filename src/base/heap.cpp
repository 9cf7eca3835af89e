#include "base/heap.h"

#include <malloc.h>

namespace lycheebay {

namespace {

constexpr int kLargeBlock = 256 << 10;
// Free memory at the end of the heap that is kept for the next blocks.
constexpr int kKeptBytes = 2 << 20;

} // namespace

void returnLargeBlocksWhenFreed()
{
    mallopt(M_MMAP_THRESHOLD, kLargeBlock);
    mallopt(M_TRIM_THRESHOLD, kKeptBytes);
}

void returnFreeMemory()
{
    malloc_trim(0);
}

} // namespace lycheebay
