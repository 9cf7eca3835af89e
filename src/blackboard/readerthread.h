#pragma once

namespace lycheebay {

/// Registers the calling thread with read-copy-update once, on first use; the thread's end undoes
/// it. Topic::read() calls it, so most code need not. Thread-safe.
void ensureReaderThread();

namespace rcu {

void lockRead();
void unlockRead();
/// Waits until every reader that may hold an old pointer has left its critical section.
/// Precondition: the caller is outside a read-side critical section.
void waitForReaders();

} // namespace rcu

} // namespace lycheebay
