#pragma once

#include "base/iclock.h"

#include <array>

namespace lycheebay {

/// Exponentially decaying latency histogram of a cell with logarithmic buckets: constant memory,
/// about 9% resolution. Not thread-safe.
class LatencyHistogram
{
public:
    void add(Duration latency, TimePoint now);

    /// True if there are enough samples to compare a target with the cell.
    bool hasEnoughSamples() const { return m_count >= kMinSamples; }
    /// Mean in seconds; a default before the first sample.
    double mean() const;
    /// Quantiles; zero until hasEnoughSamples().
    Duration median() const { return hasEnoughSamples() ? m_median : Duration::zero(); }
    Duration p95() const { return hasEnoughSamples() ? m_p95 : Duration::zero(); }

private:
    static constexpr double kMinSamples = 20;
    static constexpr int kBucketsPerOctave = 8;
    static constexpr int kOctaves = 24;
    static constexpr std::size_t kBuckets = std::size_t{ kBucketsPerOctave } * kOctaves;

    void decay(TimePoint now);
    void updateQuantiles();
    Duration quantile(double share) const;

    std::array<double, kBuckets> m_buckets{};
    double m_count = 0;
    double m_sum = 0;
    int m_samplesSinceUpdate = 0;
    TimePoint m_decayedAt;
    Duration m_median{};
    Duration m_p95{};
};

} // namespace lycheebay
