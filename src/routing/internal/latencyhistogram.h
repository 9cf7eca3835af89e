#pragma once

#include "base/iclock.h"

#include <array>

namespace lycheebay {

/// Decayed latencies of a cell in logarithmic buckets: bounded memory, about 9% resolution.
/// Not thread-safe.
class LatencyHistogram
{
public:
    void add(Duration latency, TimePoint now);

    /// False until enough samples were added to compare a target with the cell.
    bool isMeaningful() const { return m_count >= kMinimumSamples; }
    /// Mean, or a default before the first sample. In seconds.
    double mean() const;
    /// Quantiles, or zero until isMeaningful().
    Duration median() const { return isMeaningful() ? m_median : Duration::zero(); }
    Duration p95() const { return isMeaningful() ? m_p95 : Duration::zero(); }

private:
    static constexpr double kMinimumSamples = 20;
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
