#include "routing/internal/ejection.h"

#include "base/seconds.h"

#include <algorithm>
#include <cmath>

namespace lycheebay {

namespace {

constexpr int kConsecutiveFailures = 3;
// A target that hangs on one request in three must be found; a single error in ten must not.
constexpr double kFailureShare = 0.25;
constexpr double kMinimumAttempts = 8;
constexpr double kWindowSeconds = 10;
// Bounds the weight of earlier successes of a busy target; those of 10 s would outweigh the
// failures of a target that begins to hang for many seconds.
constexpr double kWindowAttempts = 32;
constexpr Duration kFirstBackOff = std::chrono::seconds(1);
constexpr Duration kLongestBackOff = std::chrono::minutes(5);
// 2^9 s exceeds the longest back-off.
constexpr int kMaximumDoublings = 9;
// A target that stayed in service for this long starts again with the first back-off.
constexpr Duration kForgiveAfter = std::chrono::minutes(1);
constexpr int kBadnessFailures = 10;

} // namespace

void Ejection::recordSuccess(TimePoint now)
{
    decay(now);
    m_attempts += 1;
    m_consecutive = 0;
}

void Ejection::recordFailure(TimePoint now)
{
    decay(now);
    m_attempts += 1;
    m_failures += 1;
    ++m_consecutive;
}

void Ejection::recordSuspectedHang(TimePoint now)
{
    decay(now);
    m_attempts += 1;
    m_failures += 1;
}

bool Ejection::isFailing() const
{
    if (m_consecutive >= kConsecutiveFailures)
        return true;
    return m_attempts >= kMinimumAttempts && m_failures >= kFailureShare * m_attempts;
}

double Ejection::badness() const
{
    const double share = m_attempts > 0 ? m_failures / m_attempts : 0;
    return share
           + static_cast<double>(std::min(m_consecutive, kBadnessFailures)) / kBadnessFailures;
}

void Ejection::eject(TimePoint now)
{
    if (!m_ejected && now - m_readmittedAt > kForgiveAfter)
        m_ejections = 0;
    m_ejected = true;
    ++m_ejections;
    m_nextTrial = now + backOff();
}

void Ejection::postponeTrial(TimePoint now)
{
    m_nextTrial = now + kFirstBackOff;
}

void Ejection::adopt(int ejections, TimePoint nextTrial)
{
    m_ejected = true;
    m_ejections = std::max(1, ejections);
    m_nextTrial = nextTrial;
}

void Ejection::readmit(TimePoint now)
{
    m_ejected = false;
    m_consecutive = 0;
    m_failures = 0;
    m_attempts = 0;
    m_readmittedAt = now;
}

void Ejection::decay(TimePoint now)
{
    const double factor =
            std::exp(-toSeconds(now - m_decayedAt) / kWindowSeconds - 1 / kWindowAttempts);
    m_failures *= factor;
    m_attempts *= factor;
    m_decayedAt = now;
}

Duration Ejection::backOff() const
{
    const int doublings = std::min(m_ejections - 1, kMaximumDoublings);
    return std::min(kLongestBackOff, kFirstBackOff * (1 << doublings));
}

} // namespace lycheebay
