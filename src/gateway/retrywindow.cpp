#include "gateway/retrywindow.h"

#include <algorithm>

namespace lycheebay {

namespace {

// Part of the ratio that is used. The rest covers requests that the owner of the budget counts in
// another window than this instance does.
constexpr double kUsedRatio = 0.75;
// Instances that may start before the list of instances shows them.
constexpr std::size_t kUnlistedInstances = 6;
constexpr Duration kSlice = std::chrono::milliseconds(500);

} // namespace

void RetryWindow::setBudget(const RetryBudget &budget, std::size_t instances)
{
    m_budget = budget;
    m_slackShare = budget.slack / static_cast<double>(instances + kUnlistedInstances);
}

RetryWindow::Slice &RetryWindow::sliceAt(TimePoint now)
{
    // Requests and attempts are counted over the same span, one slice longer than the window.
    while (!m_slices.empty() && now - m_slices.front().start > m_budget.window + kSlice)
        m_slices.pop_front();
    if (m_slices.empty() || now - m_slices.back().start >= kSlice)
        m_slices.push_back({ now, 0, 0 });
    return m_slices.back();
}

void RetryWindow::countRequest(TimePoint now)
{
    ++sliceAt(now).requests;
}

bool RetryWindow::tryTake(TimePoint now)
{
    Slice &current = sliceAt(now);
    int requests = 0;
    int taken = 0;
    for (const Slice &it : m_slices) {
        requests += it.requests;
        taken += it.extraAttempts;
    }
    if (taken + 1 > m_budget.ratio * kUsedRatio * requests + m_slackShare)
        return false;
    ++current.extraAttempts;
    return true;
}

} // namespace lycheebay
