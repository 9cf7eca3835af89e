#pragma once

#include "base/iclock.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace lycheebay {

/// Histogram of durations. The first bucket ends at 10 us and each upper bound is 1.5 times the
/// one before. Thread-safe.
class DurationHistogram
{
public:
    static constexpr std::size_t kBucketCount = 32;

    /// Upper bound of a bucket; the last one has none. Precondition: \a bucket < kBucketCount.
    static Duration upperBound(std::size_t bucket)
    {
        double bound = 10'000;
        for (std::size_t i = 0; i < bucket; ++i)
            bound *= 1.5;
        return Duration(static_cast<Duration::rep>(bound));
    }

    void record(Duration value)
    {
        std::size_t bucket = 0;
        while (bucket + 1 < kBucketCount && value > upperBound(bucket))
            ++bucket;
        m_counts[bucket].fetch_add(1, std::memory_order_relaxed);
        m_sum.fetch_add(value.count(), std::memory_order_relaxed);
    }

    std::uint64_t count(std::size_t bucket) const { return m_counts[bucket].load(); }
    Duration sum() const { return Duration(m_sum.load()); }

private:
    std::array<std::atomic<std::uint64_t>, kBucketCount> m_counts{};
    std::atomic<Duration::rep> m_sum{ 0 };
};

/// Counters of the request path, exported as metrics.
struct EntryCounters
{
    using Count = std::atomic<std::uint64_t>;

    Count requests{ 0 };
    Count addressAnswers{ 0 };
    Count done{ 0 };
    Count notRun{ 0 };
    Count unknown{ 0 };
    /// Requests refused with 421. Nothing else about them is recorded.
    Count homeRegionRefusals{ 0 };
    Count unattestedRefusals{ 0 };
    Count replayed{ 0 };
    Count keyConflicts{ 0 };
    Count keyTableFull{ 0 };
    Count suspectsRefused{ 0 };
    Count crashStrikes{ 0 };
    Count attempts{ 0 };
    Count retries{ 0 };
    Count hedges{ 0 };
    Count hedgesWon{ 0 };
    Count forwarded{ 0 };
    /// Requests served by this instance because the dispatcher could not be reached.
    Count fallbacks{ 0 };
    Count spilled{ 0 };
    Count spilledBytes{ 0 };
    Count spillsOverBudget{ 0 };
    Count callersGone{ 0 };
    /// Time to handle a request, without the time spent waiting for a target or another entry.
    DurationHistogram addedLatency;
};

} // namespace lycheebay
