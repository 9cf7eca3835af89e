#include "gateway/servicetimeestimate.h"

#include "base/seconds.h"

#include <algorithm>

namespace lycheebay {

namespace {

// Weight of a sample: about twenty samples decide.
constexpr double kSampleWeight = 0.05;
// Share of the target latency that is assumed before the first sample.
constexpr double kInitialShare = 0.4;
// A sample counts at most this multiple of the estimate, since a target may have been slowed while
// it worked.
constexpr double kMaxSampleRatio = 2.5;

} // namespace

ServiceTimeEstimate::ServiceTimeEstimate(Duration targetLatency)
    : m_baseline(fromSeconds(toSeconds(targetLatency) * kInitialShare))
{}

void ServiceTimeEstimate::addSample(Duration elapsed, double slowdown)
{
    const double baseline = toSeconds(m_baseline);
    const double sample =
            std::min(toSeconds(elapsed) / std::max(slowdown, 1.0), baseline * kMaxSampleRatio);
    m_baseline = fromSeconds(baseline + kSampleWeight * (sample - baseline));
}

Duration ServiceTimeEstimate::at(double slowdown) const
{
    return fromSeconds(toSeconds(m_baseline) * std::max(slowdown, 1.0));
}

} // namespace lycheebay
