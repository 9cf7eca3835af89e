#pragma once

#include "base/iclock.h"

#include <deque>

namespace lycheebay {

/// Bounds of the extra attempts at a service, summed over all gateway instances.
struct RetryBudget
{
    /// Extra attempts for each request.
    double ratio = 0.2;
    /// Extra attempts that are allowed in a window besides, shared by all instances.
    double slack = 0;
    Duration window = std::chrono::seconds(10);

    auto operator<=>(const RetryBudget &) const = default;
};

/// Decides whether one instance may make an extra attempt at a service, from its own requests of
/// the last window and its share of the slack. Needs no message between instances.
/// Pure and not thread-safe. `now` never goes backwards.
class RetryLimiter
{
public:
    void setBudget(const RetryBudget &budget, std::size_t instances);

    void countRequest(TimePoint now);
    /// Takes an extra attempt from the budget; false if none is left.
    bool tryAcquire(TimePoint now);

private:
    struct Bucket
    {
        TimePoint start;
        int requests = 0;
        int extraAttempts = 0;
    };

    Bucket &bucketAt(TimePoint now);

    RetryBudget m_budget;
    double m_slackShare = 0;
    std::deque<Bucket> m_buckets;
};

} // namespace lycheebay
