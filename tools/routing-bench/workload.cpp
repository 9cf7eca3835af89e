#include "workload.h"

#include "base/seededrandom.h"
#include "routing/internal/seconds.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <queue>

namespace lycheebay {

namespace {

constexpr int kTargetsPerSlowOne = 8;
constexpr double kOrderShare = 0.2;
constexpr double kLogNormalSigma = 1;

double exponential(SeededRandom &random, double mean)
{
    return -mean * std::log1p(-random.uniform());
}

double logNormal(SeededRandom &random, double mean)
{
    const double radius = std::sqrt(-2 * std::log1p(-random.uniform()));
    const double normal = radius * std::cos(2 * std::numbers::pi * random.uniform());
    return mean * std::exp(kLogNormalSigma * normal - kLogNormalSigma * kLogNormalSigma / 2);
}

} // namespace

double BenchSettings::capacity() const
{
    const int slow = noisy ? targets / kTargetsPerSlowOne : 0;
    return slots * (targets - slow + slow / kSlowFactor) / meanMs * 1000;
}

Duration BenchSettings::delay() const
{
    return fromSeconds(delayMs / 1000);
}

double Workload::factor(std::size_t target, TimePoint now) const
{
    const auto &list = slowdowns[target];
    auto it = std::ranges::upper_bound(list, now, std::less<>{}, &Slowdown::from);
    return it != list.begin() && now < std::prev(it)->to ? kSlowFactor : 1;
}

Workload makeWorkload(const BenchSettings &settings, double load)
{
    SeededRandom random(settings.seed);
    Workload workload;
    const TimePoint end = kStart + kWarmUp + fromSeconds(settings.seconds);
    TimePoint at = kStart;
    while (at < end) {
        at += fromSeconds(exponential(random, 1 / (load * settings.capacity())));
        const double mean = settings.meanMs / 1000;
        const double service =
                settings.logNormal ? logNormal(random, mean) : exponential(random, mean);
        workload.jobs.push_back({ at, service, random.uniform() < kOrderShare });
    }
    workload.slowdowns.resize(static_cast<std::size_t>(settings.targets));
    for (int i = 0; settings.noisy && i < settings.targets / kTargetsPerSlowOne; ++i) {
        for (TimePoint from = kStart; from < end;) {
            const TimePoint to = from + fromSeconds(0.05 + 0.45 * random.uniform());
            const std::size_t member = random.below(kTargetsPerSlowOne);
            const auto group = static_cast<std::size_t>(i) * kTargetsPerSlowOne;
            workload.slowdowns[group + member].push_back({ from, to });
            from = to;
        }
    }
    return workload;
}

double BenchResult::quantile(double share) const
{
    if (latenciesMs.empty())
        return 0;
    std::vector<double> sorted = latenciesMs;
    const auto at = static_cast<std::ptrdiff_t>(share * static_cast<double>(sorted.size() - 1));
    std::ranges::nth_element(sorted, sorted.begin() + at);
    return sorted[static_cast<std::size_t>(at)];
}

BenchResult runCentralQueue(const BenchSettings &settings, const Workload &workload)
{
    const auto slots = static_cast<std::size_t>(settings.slots);
    std::vector<TimePoint> freeAt(workload.slowdowns.size() * slots, kStart);
    const Duration deadline = fromSeconds(settings.deadlineMs / 1000);
    BenchResult result;
    for (const Job &job : workload.jobs) {
        const TimePoint earliest = std::ranges::min(freeAt);
        const TimePoint start = std::max(job.arrival + settings.delay(), earliest);
        const double quick = job.serviceSeconds;
        if (start + fromSeconds(quick) + settings.delay() > job.arrival + deadline) {
            result.sheds += job.arrival >= kStart + kWarmUp;
            continue;
        }
        std::size_t chosen = freeAt.size();
        for (std::size_t i = 0; i < freeAt.size(); ++i) {
            if (freeAt[i] > start)
                continue;
            if (chosen == freeAt.size()
                || workload.factor(i / slots, start) < workload.factor(chosen / slots, start))
                chosen = i;
        }
        const double service = quick * workload.factor(chosen / slots, start);
        freeAt[chosen] = start + fromSeconds(service);
        const Duration latency = freeAt[chosen] + settings.delay() - job.arrival;
        if (job.arrival < kStart + kWarmUp)
            continue;
        result.latenciesMs.push_back(toSeconds(std::min(latency, deadline)) * 1000);
        result.late += latency > deadline;
    }
    const std::size_t good = result.latenciesMs.size() - result.late;
    result.goodput = static_cast<double>(good) / settings.seconds;
    return result;
}

} // namespace lycheebay
