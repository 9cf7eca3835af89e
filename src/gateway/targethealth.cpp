#include "gateway/targethealth.h"

#include <algorithm>
#include <array>

namespace lycheebay {

namespace {

// Weight of the newest attempt in the share of failures: three failures in a row eject.
constexpr double kAttemptWeight = 0.25;
constexpr double kEjectShare = 0.55;
constexpr Duration kInitialEjection = std::chrono::milliseconds(700);
constexpr Duration kMaxEjection = std::chrono::seconds(20);
// A trial that is never reported must not block the target for ever.
constexpr Duration kTrialTimeout = std::chrono::seconds(3);
constexpr int kUnresponsiveProbes = 2;

/// How much of a failure each verdict is. A refusal is no sign of ill health on its own, but a
/// target that refuses most requests is useless.
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
        m_onTrial = false;
        return;
    }
    const double weight = kFailureWeight.at(static_cast<std::size_t>(result));
    m_failureShare += kAttemptWeight * (weight - m_failureShare);
    const bool wasTrial = m_onTrial;
    m_onTrial = false;
    if (result == AttemptResult::Served) {
        m_consecutiveTimeouts = 0;
        m_unansweredProbes = 0;
        if (wasTrial)
            m_failureShare *= 0.5;
        if (m_failureShare < kEjectShare / 2)
            m_ejection = Duration::zero();
        return;
    }
    if (result == AttemptResult::TimedOut)
        ++m_consecutiveTimeouts;
    const bool hangs = m_consecutiveTimeouts >= 1 || result == AttemptResult::Unreachable;
    if (wasTrial || hangs || m_failureShare > kEjectShare)
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
    if (m_ejection == Duration::zero())
        return;
    m_onTrial = true;
    m_trialUntil = now + kTrialTimeout;
}

bool TargetHealth::isEjected(TimePoint now) const
{
    if (isUnresponsive() || now < m_ejectedUntil)
        return true;
    return m_onTrial && now < m_trialUntil;
}

bool TargetHealth::isUnresponsive() const
{
    return m_unansweredProbes >= kUnresponsiveProbes;
}

void TargetHealth::eject(TimePoint now)
{
    m_ejection = m_ejection == Duration::zero() ? kInitialEjection
                                                : std::min(m_ejection * 2, kMaxEjection);
    m_ejectedUntil = now + m_ejection;
    m_onTrial = false;
}

} // namespace lycheebay
