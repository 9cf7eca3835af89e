#include "gateway/servicetimeestimate.h"

#include "base/seconds.h"

#include <algorithm>

namespace lycheebay {

namespace {

// Weight of a sample; the average covers about the last 20 samples.
constexpr double kSampleWeight = 0.05;
// Initial estimate as a fraction of the target latency.
constexpr double kInitialShare = 0.4;
// Samples are capped at this multiple of the estimate, since the target may have slowed down while
// it processed the request.
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
