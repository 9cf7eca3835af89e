#include "routing/internal/latencyhistogram.h"

#include "base/seconds.h"

#include <algorithm>
#include <cmath>

namespace lycheebay {

namespace {

constexpr double kHalfLifeSeconds = 10;
constexpr double kSmallestSeconds = 10e-6;
constexpr double kDefaultMeanSeconds = 0.01;
constexpr Duration kDecayPeriod = std::chrono::milliseconds(500);
// Computing the quantiles reads all buckets, which is too slow for every sample.
constexpr int kSamplesPerUpdate = 16;

} // namespace

void LatencyHistogram::add(Duration latency, TimePoint now)
{
    decay(now);
    const double seconds = std::max(toSeconds(latency), kSmallestSeconds);
    const auto bucket =
            static_cast<std::size_t>(std::log2(seconds / kSmallestSeconds) * kBucketsPerOctave);
    m_buckets[std::min(bucket, kBuckets - 1)] += 1;
    m_count += 1;
    m_sum += seconds;
    if (++m_samplesSinceUpdate >= kSamplesPerUpdate || m_count < 2 * kMinSamples)
        updateQuantiles();
}

double LatencyHistogram::mean() const
{
    // The default counts as one sample, so that the first response does not set the mean alone.
    return (m_sum + kDefaultMeanSeconds) / (m_count + 1);
}

void LatencyHistogram::decay(TimePoint now)
{
    if (m_decayedAt == TimePoint())
        m_decayedAt = now;
    if (now - m_decayedAt < kDecayPeriod)
        return;
    const double factor = std::exp2(-toSeconds(now - m_decayedAt) / kHalfLifeSeconds);
    for (double &bucket : m_buckets)
        bucket *= factor;
    m_count *= factor;
    m_sum *= factor;
    m_decayedAt = now;
}

void LatencyHistogram::updateQuantiles()
{
    m_samplesSinceUpdate = 0;
    m_median = quantile(0.5);
    m_p95 = quantile(0.95);
}

Duration LatencyHistogram::quantile(double share) const
{
    double remaining = share * m_count;
    std::size_t bucket = 0;
    while (bucket + 1 < kBuckets && remaining > m_buckets[bucket])
        remaining -= m_buckets[bucket++];
    const double position = static_cast<double>(bucket) + 0.5;
    return fromSeconds(kSmallestSeconds * std::exp2(position / kBucketsPerOctave));
}

} // namespace lycheebay
