#include "base/invariant.h"

#include "base/log.h"

#include <atomic>
#include <cstdlib>

namespace lycheebay {

namespace {

std::atomic<std::uint64_t> violations{ 0 };
std::atomic<bool> violationsFatal{ false };

} // namespace

std::uint64_t invariantViolations()
{
    return violations.load(std::memory_order_relaxed);
}

void setInvariantsFatal(bool fatal)
{
    violationsFatal = fatal;
}

void reportInvariantViolation(const char *condition, const char *explanation)
{
    violations.fetch_add(1, std::memory_order_relaxed);
    LOG4CPLUS_ERROR(componentLogger("invariant"), explanation << " (" << condition << ")");
    if (violationsFatal)
        std::abort();
}

} // namespace lycheebay
