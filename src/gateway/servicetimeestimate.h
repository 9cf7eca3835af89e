#pragma once

#include "base/iclock.h"

namespace lycheebay {

/// Estimates the service time of requests on a target that is neither slowed down nor cold, as an
/// exponentially weighted moving average. Does no I/O. Not thread-safe.
class ServiceTimeEstimate
{
public:
    /// The initial estimate is a fraction of \a targetLatency, which operators set to a small
    /// multiple of the usual service time.
    explicit ServiceTimeEstimate(Duration targetLatency);

    /// Adds the duration of an attempt that a target with the given slowdown answered.
    void addSample(Duration elapsed, double slowdown);

    /// Returns the estimate for a target that is not slowed down.
    Duration baseline() const { return m_baseline; }
    /// Returns the estimate for a target with the given slowdown. Values below 1 count as 1.
    Duration at(double slowdown) const;

private:
    Duration m_baseline;
};

} // namespace lycheebay
