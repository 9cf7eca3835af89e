#include "gateway/retrylimiter.h"

#include <algorithm>

namespace lycheebay {

namespace {

// Fraction of the ratio that is used. The budget is checked over windows that start at other times
// than those of this instance; the rest covers requests that fall into different ones.
constexpr double kRatioSafetyFactor = 0.75;
// Instances that may be running but not yet in the instance list; the slack is divided among them
// too.
constexpr std::size_t kUnlistedInstances = 6;
constexpr Duration kBucketDuration = std::chrono::milliseconds(500);
// The limit also holds over this part of the window, so that requests of two peaks of load do not
// pay for retries in the second one, or at two instances between which the load has moved.
constexpr int kWindowDivisor = 4;

} // namespace

void RetryLimiter::setBudget(const RetryBudget &budget, std::optional<std::size_t> instances,
                             TimePoint now)
{
    m_budget = budget;
    if (!instances)
        return;
    if (!m_instanceCounts.empty())
        m_instanceCounts.back().replacedAt = now;
    while (!m_instanceCounts.empty() && m_instanceCounts.back().count <= *instances)
        m_instanceCounts.pop_back();
    m_instanceCounts.push_back({ *instances, std::nullopt });
}

std::size_t RetryLimiter::instancesAt(TimePoint now)
{
    while (m_instanceCounts.size() > 1
           && now - *m_instanceCounts.front().replacedAt > m_budget.window)
        m_instanceCounts.pop_front();
    return m_instanceCounts.empty() ? 0 : m_instanceCounts.front().count;
}

RetryLimiter::Bucket &RetryLimiter::bucketAt(TimePoint now)
{
    // Requests and extra attempts are counted over the same period, one bucket longer than the
    // window.
    while (!m_buckets.empty() && now - m_buckets.front().start > m_budget.window + kBucketDuration)
        m_buckets.pop_front();
    if (m_buckets.empty() || now - m_buckets.back().start >= kBucketDuration)
        m_buckets.push_back({ now, 0, 0 });
    return m_buckets.back();
}

void RetryLimiter::countRequest(TimePoint now)
{
    ++bucketAt(now).requests;
}

RetryBudgetUsage RetryLimiter::usage(TimePoint now)
{
    const RetryBudgetUsage whole = usageOver(m_budget.window, now);
    const RetryBudgetUsage part = usageOver(m_budget.window / kWindowDivisor, now);
    return part.limit - part.extraAttempts < whole.limit - whole.extraAttempts ? part : whole;
}

RetryBudgetUsage RetryLimiter::usageOver(Duration span, TimePoint now)
{
    bucketAt(now);
    RetryBudgetUsage usage;
    usage.extraAttempts = m_reserved;
    usage.instances = instancesAt(now);
    for (const Bucket &it : m_buckets) {
        if (now - it.start > span + kBucketDuration)
            continue;
        usage.requests += it.requests;
        usage.extraAttempts += it.extraAttempts;
    }
    usage.limit = m_budget.ratio * kRatioSafetyFactor * usage.requests;
    const bool slackIsFree = now - m_startedAt > m_budget.window + kBucketDuration;
    if (usage.instances > 0 && slackIsFree)
        usage.limit += m_budget.slack / static_cast<double>(usage.instances + kUnlistedInstances);
    return usage;
}

bool RetryLimiter::tryReserve(TimePoint now)
{
    const RetryBudgetUsage current = usage(now);
    if (current.extraAttempts + 1 > current.limit)
        return false;
    ++m_reserved;
    return true;
}

void RetryLimiter::commit(TimePoint now)
{
    --m_reserved;
    ++bucketAt(now).extraAttempts;
}

void RetryLimiter::cancel()
{
    --m_reserved;
}

} // namespace lycheebay
