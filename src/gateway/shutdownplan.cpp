#include "gateway/shutdownplan.h"

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

// Time before the forced end at which the process ends by itself.
constexpr Duration kExitMargin = milliseconds(250);
// Shortest time for which connections are accepted, since callers keep address answers.
constexpr Duration kMinListeningTime = milliseconds(2500);

} // namespace

ShutdownPlan::ShutdownPlan(TimePoint since, Duration gracePeriod)
    : m_since(since)
    , m_end(since + gracePeriod - kExitMargin)
{}

bool ShutdownPlan::mayAccept(TimePoint now, Duration timeout) const
{
    return now + timeout < m_end;
}

bool ShutdownPlan::shouldExit(TimePoint now, std::size_t pendingRequests,
                              std::size_t connections) const
{
    if (now >= m_end)
        return true;
    return pendingRequests == 0 && connections == 0 && now - m_since >= kMinListeningTime;
}

} // namespace lycheebay
