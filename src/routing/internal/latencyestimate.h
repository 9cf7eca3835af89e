#pragma once

#include "base/seconds.h"

#include <cmath>

namespace lycheebay {

/// Estimates a target's current mean latency from recent responses and from the ages of the
/// attempts in flight, so that a slowdown is detected before any of them completes.
/// Not thread-safe.
class LatencyEstimate
{
public:
    void add(double seconds, TimePoint now)
    {
        const double factor = decayFactor(now);
        m_sum = m_sum * factor + seconds;
        m_count = m_count * factor + 1;
        m_updatedAt = now;
    }

    /// Adds an abandoned attempt: adds its age, but no completion.
    void addCensored(double seconds, TimePoint now)
    {
        add(seconds, now);
        m_count -= 1;
    }

    /// Maximum-likelihood estimate of the mean with censored observations: the ages of attempts in
    /// flight, whose sum is \a outstandingAgeSeconds, add time but no completion. \a prior is the
    /// cell's mean in seconds.
    double seconds(double prior, double outstandingAgeSeconds, TimePoint now) const
    {
        const double factor = decayFactor(now);
        return (m_sum * factor + kPriorWeight * prior + outstandingAgeSeconds)
               / (m_count * factor + kPriorWeight);
    }

private:
    // Slowdowns last 50 to 500 ms; older responses say nothing about the current one.
    static constexpr double kDecaySeconds = 0.1;
    // Number of responses as which the cell's mean counts.
    static constexpr double kPriorWeight = 1.5;

    double decayFactor(TimePoint now) const
    {
        return std::exp(-toSeconds(now - m_updatedAt) / kDecaySeconds);
    }

    double m_sum = 0;
    double m_count = 0;
    TimePoint m_updatedAt;
};

} // namespace lycheebay
