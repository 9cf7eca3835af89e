#pragma once

#include "base/iclock.h"

#include <cstdint>
#include <vector>

namespace lycheebay {

struct BenchSettings
{
    std::uint64_t seed = 1;
    int targets = 16;
    int slots = 4;
    double delayMs = 0.1;
    double deadlineMs = 500;
    double seconds = 20;
    bool logNormal = false;
    bool noisy = true;
    bool hedging = true;
    bool json = false;

    /// Requests per second that all slots can handle, slowed targets included.
    double capacity() const;
    Duration delay() const;
    Duration deadline() const;
};

struct Job
{
    TimePoint arrival;
    double serviceSeconds = 0;
    bool order = false;
};

struct Slowdown
{
    TimePoint from;
    TimePoint to;
};

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr TimePoint kMeasuredFrom = kStart + std::chrono::seconds(2);

/// Arrivals, service times and slowdowns; the same for every strategy.
struct Workload
{
    std::vector<Job> jobs;
    std::vector<std::vector<Slowdown>> slowdowns;

    /// Factor by which a service that starts now at \a target takes longer.
    double factor(std::size_t target, TimePoint now) const;
};

Workload makeWorkload(const BenchSettings &settings, double load);

/// What the callers of one run saw.
struct BenchResult
{
    std::vector<double> latenciesMs;
    std::size_t sheds = 0;
    std::size_t late = 0;
    std::size_t hedges = 0;
    /// Ejected targets, summed over the ticks of the dispatcher.
    std::size_t ejectedTicks = 0;

    void add(const Job &job, TimePoint end, Duration deadline);
    double quantile(double share) const;
};

/// One queue over all slots; free slots of targets that are not slowed are taken first.
BenchResult runCentralQueue(const BenchSettings &settings, const Workload &workload);

} // namespace lycheebay
