#include "gateway/targethealth.h"

#include <algorithm>
#include <array>

namespace lycheebay {

namespace {

// Weight of the latest attempt in the failure rate. Three failures in a row exceed
// kEjectionFailureRate.
constexpr double kAttemptWeight = 0.25;
constexpr double kEjectionFailureRate = 0.55;
constexpr Duration kInitialEjection = std::chrono::milliseconds(700);
constexpr Duration kMaxEjection = std::chrono::seconds(20);
// A trial whose result is never reported must not block the target forever.
constexpr Duration kTrialTimeout = std::chrono::seconds(3);
constexpr int kUnresponsiveProbes = 2;

/// How much each result counts as a failure. A single rejection does not mean that a target is
/// unhealthy, but a target that rejects most requests is useless.
constexpr std::array<double, 5> kFailureWeight{
    0,   // Served
    0.6, // Shed
    1,   // Failed
    1,   // Unreachable
    1,   // TimedOut
};

} // namespace

void TargetHealth::recordAttempt(AttemptResult result, TimePoint now)
{
    if (result == AttemptResult::Abandoned) {
        m_trialInFlight = false;
        return;
    }
    const double weight = kFailureWeight.at(static_cast<std::size_t>(result));
    m_failureRate += kAttemptWeight * (weight - m_failureRate);
    const bool wasTrial = m_trialInFlight;
    m_trialInFlight = false;
    if (result == AttemptResult::Served) {
        m_consecutiveTimeouts = 0;
        m_unansweredProbes = 0;
        if (wasTrial)
            m_failureRate *= 0.5;
        if (m_failureRate < kEjectionFailureRate / 2)
            m_ejectionTime = Duration::zero();
        return;
    }
    if (result == AttemptResult::TimedOut)
        ++m_consecutiveTimeouts;
    const bool hangs = m_consecutiveTimeouts >= 1 || result == AttemptResult::Unreachable;
    if (wasTrial || hangs || m_failureRate > kEjectionFailureRate)
        eject(now);
}

void TargetHealth::recordProbe(bool answered, TimePoint now)
{
    if (answered) {
        m_unansweredProbes = 0;
        return;
    }
    ++m_unansweredProbes;
    if (m_unansweredProbes == kUnresponsiveProbes)
        eject(now);
}

void TargetHealth::recordTrialStarted(TimePoint now)
{
    if (m_ejectionTime == Duration::zero())
        return;
    m_trialInFlight = true;
    m_trialUntil = now + kTrialTimeout;
}

bool TargetHealth::isEjected(TimePoint now) const
{
    if (isUnresponsive() || now < m_ejectedUntil)
        return true;
    return m_trialInFlight && now < m_trialUntil;
}

bool TargetHealth::isUnresponsive() const
{
    return m_unansweredProbes >= kUnresponsiveProbes;
}

void TargetHealth::eject(TimePoint now)
{
    m_ejectionTime = m_ejectionTime == Duration::zero()
                             ? kInitialEjection
                             : std::min(m_ejectionTime * 2, kMaxEjection);
    m_ejectedUntil = now + m_ejectionTime;
    m_trialInFlight = false;
}

} // namespace lycheebay
