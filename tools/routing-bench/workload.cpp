#include "workload.h"

#include "base/seconds.h"
#include "base/seededrandom.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace lycheebay {

namespace {

constexpr double kMeanSeconds = 0.01;
constexpr double kSlowFactor = 5;
constexpr int kTargetsPerSlowOne = 8;
constexpr double kOrderShare = 0.2;

double serviceTime(SeededRandom &random, bool logNormal)
{
    const double exponential = -std::log1p(-random.uniform());
    if (!logNormal)
        return kMeanSeconds * exponential;
    const double angle = 2 * std::numbers::pi * random.uniform();
    return kMeanSeconds * std::exp(std::sqrt(2 * exponential) * std::cos(angle) - 0.5);
}

} // namespace

double BenchSettings::capacity() const
{
    const int slow = noisy ? targets / kTargetsPerSlowOne : 0;
    return slots * (targets - slow + slow / kSlowFactor) / kMeanSeconds;
}

Duration BenchSettings::delay() const
{
    return fromSeconds(delayMs / 1000);
}

Duration BenchSettings::deadline() const
{
    return fromSeconds(deadlineMs / 1000);
}

double Workload::factor(std::size_t target, TimePoint now) const
{
    const auto &list = slowdowns[target];
    const auto it = std::ranges::upper_bound(list, now, std::less<>{}, &Slowdown::from);
    return it != list.begin() && now < std::prev(it)->to ? kSlowFactor : 1;
}

Workload makeWorkload(const BenchSettings &settings, double load)
{
    SeededRandom random(settings.seed);
    Workload workload;
    const TimePoint end = kMeasuredFrom + fromSeconds(settings.seconds);
    for (TimePoint at = kStart; at < end;) {
        at += fromSeconds(-std::log1p(-random.uniform()) / (load * settings.capacity()));
        const double service = serviceTime(random, settings.logNormal);
        workload.jobs.push_back({ at, service, random.uniform() < kOrderShare });
    }
    workload.slowdowns.resize(static_cast<std::size_t>(settings.targets));
    const int slow = settings.noisy ? settings.targets / kTargetsPerSlowOne : 0;
    for (int i = 0; i < slow; ++i) {
        const auto group = static_cast<std::size_t>(i) * kTargetsPerSlowOne;
        for (TimePoint from = kStart; from < end;) {
            const TimePoint to = from + fromSeconds(0.05 + 0.45 * random.uniform());
            workload.slowdowns[group + random.below(kTargetsPerSlowOne)].push_back({ from, to });
            from = to;
        }
    }
    return workload;
}

void BenchResult::add(const Job &job, TimePoint end, Duration deadline)
{
    if (job.arrival < kMeasuredFrom)
        return;
    latenciesMs.push_back(toSeconds(std::min(end - job.arrival, deadline)) * 1000);
    late += end - job.arrival >= deadline;
}

double BenchResult::quantile(double share) const
{
    std::vector<double> sorted = latenciesMs;
    const auto at = static_cast<std::ptrdiff_t>(share * static_cast<double>(sorted.size() - 1));
    std::ranges::nth_element(sorted, sorted.begin() + at);
    return sorted.at(static_cast<std::size_t>(at));
}

BenchResult runCentralQueue(const BenchSettings &settings, const Workload &workload)
{
    const auto slots = static_cast<std::size_t>(settings.slots);
    std::vector<TimePoint> freeAt(workload.slowdowns.size() * slots, kStart);
    BenchResult result;
    for (const Job &job : workload.jobs) {
        const TimePoint start = std::max(job.arrival + settings.delay(), std::ranges::min(freeAt));
        const auto cost = [&](std::size_t slot) {
            return freeAt[slot] > start ? 2 * kSlowFactor : workload.factor(slot / slots, start);
        };
        std::size_t chosen = 0;
        for (std::size_t slot = 1; slot < freeAt.size(); ++slot) {
            if (cost(slot) < cost(chosen))
                chosen = slot;
        }
        const Duration service = fromSeconds(job.serviceSeconds * cost(chosen));
        if (start + service + settings.delay() > job.arrival + settings.deadline()) {
            result.sheds += job.arrival >= kMeasuredFrom;
            continue;
        }
        freeAt[chosen] = start + service;
        result.add(job, freeAt[chosen] + settings.delay(), settings.deadline());
    }
    return result;
}

} // namespace lycheebay
