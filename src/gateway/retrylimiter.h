#pragma once

#include "base/iclock.h"

#include <deque>
#include <optional>

namespace lycheebay {

/// Limit on the extra attempts at a service (retries and hedges), summed over all gateway
/// instances.
struct RetryBudget
{
    /// Extra attempts per request.
    double ratio = 0.2;
    /// Additional extra attempts allowed per window, shared by all instances.
    double slack = 0;
    Duration window = std::chrono::seconds(10);

    auto operator<=>(const RetryBudget &) const = default;
};

/// State of a RetryLimiter at one moment: the counts over the last window or over its last part,
/// whichever has less left.
struct RetryBudgetUsage
{
    int requests = 0;
    /// Extra attempts that were sent or are reserved.
    int extraAttempts = 0;
    /// Extra attempts allowed for these requests.
    double limit = 0;
    /// Number of instances that the slack is divided among; 0 if it is not known.
    std::size_t instances = 0;

    auto operator<=>(const RetryBudgetUsage &) const = default;
};

/// Enforces one instance's part of a RetryBudget without communication between instances: the ratio
/// applies to the requests that the instance received in the last window and in its last quarter,
/// and the slack is divided evenly. Does no I/O. Not thread-safe. `now` must not decrease.
class RetryLimiter
{
public:
    /// The slack is used from one window after \a startedAt on: an earlier process of the instance
    /// may have used its share just before.
    explicit RetryLimiter(TimePoint startedAt)
        : m_startedAt(startedAt)
    {}

    /// \a instances is the number of instances in the list; null while there is no list, and then
    /// the slack is not used. It is divided among the largest number of the last window, since
    /// instances that are missing from a list may still be running.
    void setBudget(const RetryBudget &budget, std::optional<std::size_t> instances, TimePoint now);

    void countRequest(TimePoint now);
    /// Reserves one extra attempt. Returns false if none is left. A reservation counts until it is
    /// committed or cancelled, however long that takes.
    bool tryReserve(TimePoint now);
    /// Reports that a reserved attempt is sent. Precondition: there is a reservation.
    void commit(TimePoint now);
    /// Returns a reservation that is not used. Precondition: there is a reservation.
    void cancel();
    RetryBudgetUsage usage(TimePoint now);

private:
    struct Bucket
    {
        TimePoint start;
        int requests = 0;
        int extraAttempts = 0;
    };

    struct InstanceCount
    {
        std::size_t count = 0;
        /// When a smaller number replaced this one; null for the current number.
        std::optional<TimePoint> replacedAt;
    };

    Bucket &bucketAt(TimePoint now);
    RetryBudgetUsage usageOver(Duration span, TimePoint now);
    /// Returns the number of instances that share the slack; 0 if it is not known.
    std::size_t instancesAt(TimePoint now);

    const TimePoint m_startedAt;
    RetryBudget m_budget;
    /// Descending counts, the current one last.
    std::deque<InstanceCount> m_instanceCounts;
    std::deque<Bucket> m_buckets;
    int m_reserved = 0;
};

} // namespace lycheebay
