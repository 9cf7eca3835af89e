#include "gateway/worktimeestimate.h"

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
constexpr double kOutlier = 2.5;

} // namespace

WorkTimeEstimate::WorkTimeEstimate(Duration targetLatency)
    : m_usual(fromSeconds(toSeconds(targetLatency) * kInitialShare))
{}

void WorkTimeEstimate::addSample(Duration elapsed, double slowdown)
{
    const double usual = toSeconds(m_usual);
    const double sample = std::min(toSeconds(elapsed) / std::max(slowdown, 1.0), usual * kOutlier);
    m_usual = fromSeconds(usual + kSampleWeight * (sample - usual));
}

Duration WorkTimeEstimate::at(double slowdown) const
{
    return fromSeconds(toSeconds(m_usual) * std::max(slowdown, 1.0));
}

} // namespace lycheebay
