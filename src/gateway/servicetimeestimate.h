#pragma once

#include "base/iclock.h"

namespace lycheebay {

/// Estimates the time that a request of a service takes on a target that is neither slowed nor
/// cold, as an exponentially weighted mean. Pure and not thread-safe.
class ServiceTimeEstimate
{
public:
    /// Before the first sample, the estimate is a share of \a targetLatency, which operators set
    /// to a small multiple of the usual time.
    explicit ServiceTimeEstimate(Duration targetLatency);

    /// Adds the duration of an attempt that was answered, at a target with this slowdown.
    void addSample(Duration elapsed, double slowdown);

    Duration baseline() const { return m_baseline; }
    /// Returns the estimate for a target with this slowdown. Values below 1 count as 1.
    Duration at(double slowdown) const;

private:
    Duration m_baseline;
};

} // namespace lycheebay
