#include "routing/internal/outlierdetector.h"

#include "base/seconds.h"

#include <algorithm>
#include <cmath>

namespace lycheebay {

namespace {

constexpr int kEjectAfterConsecutiveFailures = 3;
// Detects a target that hangs on one request in three, but tolerates one error in ten.
constexpr double kEjectFailureShare = 0.25;
constexpr double kMinAttemptsForShare = 8;
constexpr double kWindowSeconds = 10;
// Limits the weight of earlier successes of a busy target: with 10 s of them, a target that begins
// to hang would go undetected for many seconds.
constexpr double kWindowAttempts = 32;
constexpr Duration kFirstBackOff = std::chrono::seconds(1);
constexpr Duration kMaxBackOff = std::chrono::minutes(5);
// 2^9 s exceeds the maximum back-off.
constexpr int kMaxBackOffDoublings = 9;
// A target that stayed in service for this long restarts with the first back-off.
constexpr Duration kBackOffResetAfter = std::chrono::minutes(1);
constexpr int kMaxScoredFailures = 10;

} // namespace

void OutlierDetector::recordSuccess(TimePoint now)
{
    decay(now);
    m_attempts += 1;
    m_consecutiveFailures = 0;
}

void OutlierDetector::recordFailure(TimePoint now)
{
    decay(now);
    m_attempts += 1;
    m_failures += 1;
    ++m_consecutiveFailures;
}

void OutlierDetector::recordSuspectedHang(TimePoint now)
{
    decay(now);
    m_attempts += 1;
    m_failures += 1;
}

bool OutlierDetector::isFailing() const
{
    if (m_consecutiveFailures >= kEjectAfterConsecutiveFailures)
        return true;
    return m_attempts >= kMinAttemptsForShare && m_failures >= kEjectFailureShare * m_attempts;
}

double OutlierDetector::failureScore() const
{
    const double share = m_attempts > 0 ? m_failures / m_attempts : 0;
    return share
           + static_cast<double>(std::min(m_consecutiveFailures, kMaxScoredFailures))
                     / kMaxScoredFailures;
}

void OutlierDetector::eject(TimePoint now)
{
    if (!m_ejected && now - m_readmittedAt > kBackOffResetAfter)
        m_ejections = 0;
    m_ejected = true;
    ++m_ejections;
    m_nextTrialAt = now + backOff();
}

void OutlierDetector::postponeTrial(TimePoint now)
{
    m_nextTrialAt = now + kFirstBackOff;
}

void OutlierDetector::adoptEjection(int ejections, TimePoint nextTrialAt)
{
    m_ejected = true;
    m_ejections = std::max(1, ejections);
    m_nextTrialAt = nextTrialAt;
}

void OutlierDetector::readmit(TimePoint now)
{
    m_ejected = false;
    m_consecutiveFailures = 0;
    m_failures = 0;
    m_attempts = 0;
    m_readmittedAt = now;
}

void OutlierDetector::decay(TimePoint now)
{
    const double factor =
            std::exp(-toSeconds(now - m_decayedAt) / kWindowSeconds - 1 / kWindowAttempts);
    m_failures *= factor;
    m_attempts *= factor;
    m_decayedAt = now;
}

Duration OutlierDetector::backOff() const
{
    const int doublings = std::min(m_ejections - 1, kMaxBackOffDoublings);
    return std::min(kMaxBackOff, kFirstBackOff * (1 << doublings));
}

} // namespace lycheebay
