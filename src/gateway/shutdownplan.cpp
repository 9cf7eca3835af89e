#include "gateway/shutdownplan.h"

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

// The process exits this long before the forced termination.
constexpr Duration kExitMargin = milliseconds(250);
// Time for answers to leave the process before it exits.
constexpr Duration kAnswerMargin = milliseconds(50);
// Minimum time for which connections are accepted, since callers cache address answers.
constexpr Duration kMinListeningTime = milliseconds(2500);

} // namespace

ShutdownPlan::ShutdownPlan(TimePoint since, Duration gracePeriod)
    : m_since(since)
    , m_exitAt(since + gracePeriod - kExitMargin)
{}

TimePoint ShutdownPlan::lastAnswerAt() const
{
    return m_exitAt - kAnswerMargin;
}

bool ShutdownPlan::mayAccept(TimePoint now, Duration timeout) const
{
    return now + timeout < lastAnswerAt();
}

bool ShutdownPlan::shouldExit(TimePoint now, std::size_t pendingRequests,
                              std::size_t connections) const
{
    if (now >= m_exitAt)
        return true;
    return pendingRequests == 0 && connections == 0 && now - m_since >= kMinListeningTime;
}

} // namespace lycheebay
