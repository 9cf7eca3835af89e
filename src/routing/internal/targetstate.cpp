#include "routing/internal/targetstate.h"

#include <algorithm>

namespace lycheebay {

namespace {

// A shed tells that the target is full now; its load may differ a few service times later.
constexpr Duration kShedLimitDuration = std::chrono::milliseconds(50);
constexpr int kMaxShedDoublings = 4;
// Reports arrive within a few milliseconds, so they cannot include an older own count.
constexpr Duration kMaxReportDelay = std::chrono::milliseconds(50);
// Few enough to detect a slowdown that lasts 50 ms.
constexpr double kFastShareAttempts = 8;
// Within this time, a late report of the same process does not cancel a graceful shutdown.
constexpr Duration kMinDrainDuration = std::chrono::seconds(5);

TargetSpec normalized(TargetSpec spec)
{
    spec.slots = std::max(1, spec.slots);
    spec.coldLimit = std::clamp(spec.coldLimit, 1, spec.slots);
    return spec;
}

} // namespace

TargetState::TargetState(const TargetSpec &spec, std::uint32_t ordinal, Duration probeCost,
                         TimePoint now)
    : m_spec(normalized(spec))
    , m_ordinal(ordinal)
    , m_createdAt(now)
    , m_limit(m_spec.coldLimit)
    , m_probes(now, 0, probeCost)
{}

void TargetState::update(const TargetSpec &spec, TimePoint now)
{
    const bool returnsToService = !isUsable() && spec.acceptsWork;
    const bool addressChanged = spec.address != m_spec.address;
    m_spec = normalized(spec);
    m_limit = std::clamp(m_limit, m_spec.coldLimit, m_spec.slots);
    if (addressChanged)
        m_draining = false;
    if (addressChanged || returnsToService) {
        m_outlierDetector.readmit(now);
        resetToUnknown();
    }
}

void TargetState::attemptStarted(TimePoint now)
{
    const int recent = recentOutstanding(now);
    ++m_outstanding;
    if (m_outstanding >= recent) {
        m_peakOutstanding = m_outstanding;
        m_peakAt = now;
    }
    m_startTimeSum += now - m_createdAt;
}

void TargetState::attemptEnded(TimePoint startedAt, TimePoint now)
{
    if (m_outstanding >= m_peakOutstanding) {
        m_peakOutstanding = m_outstanding;
        m_peakAt = now;
    }
    --m_outstanding;
    m_startTimeSum -= startedAt - m_createdAt;
}

double TargetState::outstandingAgeSeconds(TimePoint now) const
{
    return toSeconds((now - m_createdAt) * m_outstanding - m_startTimeSum);
}

int TargetState::recentOutstanding(TimePoint now) const
{
    return now - m_peakAt < kMaxReportDelay ? std::max(m_peakOutstanding, m_outstanding)
                                            : m_outstanding;
}

int TargetState::usableLimit(TimePoint now) const
{
    int limit = m_limit;
    if (now < m_shedUntil)
        limit = std::min(limit, m_shedLimit);
    // A wrong report may take at most half of the slots of a warm target. At a cold one, external
    // load counts in full, because the cold limit applies to all entries together.
    const int external = externalLoad(now);
    if (m_cold)
        return std::max(0, limit - external);
    return std::max(1, limit - std::min(external, m_spec.slots / 2));
}

void TargetState::resetToUnknown()
{
    m_phaseKnown = false;
    resetToCold();
}

void TargetState::resetToCold()
{
    m_cold = true;
    m_limit = m_spec.coldLimit;
}

void TargetState::raiseLimit()
{
    m_phaseKnown = true;
    m_cold = false;
    m_limit = std::min(m_spec.slots, m_limit + 1);
    if (m_shedCount > 0)
        --m_shedCount;
}

void TargetState::reduceAfterShed(TimePoint now)
{
    m_shedLimit = std::max(1, m_outstanding);
    m_shedUntil = now + kShedLimitDuration * (1 << std::min(m_shedCount, kMaxShedDoublings));
    ++m_shedCount;
}

void TargetState::applyReport(const LoadReport &report, TimePoint now)
{
    const bool restarted = report.startId != 0 && m_startId != 0 && report.startId != m_startId;
    if (report.startId != 0)
        m_startId = report.startId;
    if (report.phase == TargetPhase::Draining) {
        adoptDraining(now);
    } else if (restarted || now - m_drainingAt >= kMinDrainDuration) {
        if (m_draining)
            resetToCold();
        m_draining = false;
    }
    if (restarted || report.phase == TargetPhase::Cold)
        resetToCold();
    else if (report.phase == TargetPhase::Warm)
        setPhase(m_cold);
    m_externalLoad.report(report.inFlight, recentOutstanding(now), now);
}

void TargetState::recordFast(bool fast)
{
    m_fastShare += ((fast ? 1 : 0) - m_fastShare) / kFastShareAttempts;
}

void TargetState::adoptDraining(TimePoint now)
{
    m_draining = true;
    m_drainingAt = now;
}

void TargetState::adoptWarm()
{
    setPhase(false);
    m_draining = false;
}

void TargetState::adoptCold()
{
    m_phaseKnown = true;
    resetToCold();
}

void TargetState::setPhase(bool cold)
{
    m_phaseKnown = true;
    m_cold = cold;
}

} // namespace lycheebay
