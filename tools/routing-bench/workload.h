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
    double meanMs = 10;
    bool logNormal = false;
    bool noisy = true;
    bool hedging = true;
    double delayMs = 0.1;
    double deadlineMs = 500;
    double seconds = 20;

    /// Requests per second that all slots together can handle, slowed targets included.
    double capacity() const;
    Duration delay() const;
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

/// Arrivals, service times and slowdowns; the same for every strategy.
struct Workload
{
    std::vector<Job> jobs;
    std::vector<std::vector<Slowdown>> slowdowns;

    /// Factor by which a service that starts now at \a target takes longer.
    double factor(std::size_t target, TimePoint now) const;
};

Workload makeWorkload(const BenchSettings &settings, double load);

struct BenchResult
{
    std::vector<double> latenciesMs;
    double goodput = 0;
    std::size_t sheds = 0;
    std::size_t late = 0;
    std::size_t hedges = 0;

    double quantile(double share) const;
};

constexpr Duration kWarmUp = std::chrono::seconds(2);
constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr double kSlowFactor = 5;

/// One queue over all slots with knowledge of the present slowdowns.
BenchResult runCentralQueue(const BenchSettings &settings, const Workload &workload);

} // namespace lycheebay
