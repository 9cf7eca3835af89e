#include "gateway/targethealth.h"

#include <algorithm>
#include <array>

namespace lycheebay {

namespace {

// Weight of the newest attempt in the share of failures: three failures in a row eject.
constexpr double kNewestWeight = 0.25;
constexpr double kEjectShare = 0.55;
constexpr Duration kFirstEjection = std::chrono::milliseconds(700);
constexpr Duration kLongestEjection = std::chrono::seconds(20);
// A trial that is never reported must not block the target for ever.
constexpr Duration kTrialLimit = std::chrono::seconds(3);
constexpr int kSilentProbes = 2;

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

void TargetHealth::noteAttempt(AttemptVerdict verdict, TimePoint now)
{
    if (verdict == AttemptVerdict::Abandoned) {
        m_onTrial = false;
        return;
    }
    const double weight = kFailureWeight.at(static_cast<std::size_t>(verdict));
    m_failureShare += kNewestWeight * (weight - m_failureShare);
    const bool wasTrial = m_onTrial;
    m_onTrial = false;
    if (verdict == AttemptVerdict::Served) {
        m_consecutiveTimeouts = 0;
        m_unansweredProbes = 0;
        if (wasTrial)
            m_failureShare *= 0.5;
        if (m_failureShare < kEjectShare / 2)
            m_ejection = Duration::zero();
        return;
    }
    if (verdict == AttemptVerdict::TimedOut)
        ++m_consecutiveTimeouts;
    const bool hangs = m_consecutiveTimeouts >= 1 || verdict == AttemptVerdict::Unreachable;
    if (wasTrial || hangs || m_failureShare > kEjectShare)
        eject(now);
}

void TargetHealth::noteProbe(bool answered, TimePoint now)
{
    if (answered) {
        m_unansweredProbes = 0;
        return;
    }
    ++m_unansweredProbes;
    if (m_unansweredProbes == kSilentProbes)
        eject(now);
}

void TargetHealth::noteTrialStarted(TimePoint now)
{
    if (m_ejection == Duration::zero())
        return;
    m_onTrial = true;
    m_trialUntil = now + kTrialLimit;
}

bool TargetHealth::isEjected(TimePoint now) const
{
    if (isSilent() || now < m_ejectedUntil)
        return true;
    return m_onTrial && now < m_trialUntil;
}

bool TargetHealth::isSilent() const
{
    return m_unansweredProbes >= kSilentProbes;
}

void TargetHealth::eject(TimePoint now)
{
    m_ejection = m_ejection == Duration::zero() ? kFirstEjection
                                                : std::min(m_ejection * 2, kLongestEjection);
    m_ejectedUntil = now + m_ejection;
    m_onTrial = false;
}

} // namespace lycheebay
