#pragma once

#include <cstdint>

namespace lycheebay {

/// Counts invariant violations of this process, for the metric. Thread-safe.
std::uint64_t invariantViolations();

/// Chooses whether a violation ends the process (random runs) or is only counted and logged
/// (production). Call before the first thread starts.
void setInvariantsFatal(bool fatal);

/// Logs and counts a violation; aborts when invariants are fatal. Thread-safe.
void reportInvariantViolation(const char *condition, const char *explanation);

} // namespace lycheebay

/// Checks a condition that must always hold; stays on in release builds, so it must be cheap.
#define LYCHEEBAY_INVARIANT(condition, explanation)                                                \
    do {                                                                                           \
        if (!(condition)) [[unlikely]]                                                             \
            ::lycheebay::reportInvariantViolation(#condition, explanation);                        \
    } while (false)
