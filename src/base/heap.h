#pragma once

namespace lycheebay {

/// Makes the allocator (glibc) take large blocks from the system and return them when they are
/// freed. By default it keeps them after the first ones, up to 32 MB each, so that a process holds
/// the memory of large messages for good. Not thread-safe: call it at the start.
void returnLargeBlocksWhenFreed();

/// Returns the free memory of small blocks to the system. Takes some milliseconds for a large heap.
/// Thread-safe.
void returnFreeMemory();

} // namespace lycheebay
