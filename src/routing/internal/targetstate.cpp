#include "routing/internal/targetstate.h"

#include <algorithm>

namespace lycheebay {

namespace {

// A shed answer means "too much just now"; the target's load may differ a few service times later.
constexpr Duration kShedHold = std::chrono::milliseconds(50);
constexpr int kMaximumShedDoublings = 4;
// Reports travel for a few milliseconds; an older own count cannot be part of one.
constexpr Duration kReportDelay = std::chrono::milliseconds(50);
// Few enough to notice a slowdown of 50 ms.
constexpr double kQuickShareAttempts = 8;
// A graceful shutdown is not reversed by one lagging report of the same process.
constexpr Duration kDrainHold = std::chrono::seconds(5);

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
    , m_origin(now)
    , m_limit(m_spec.coldLimit)
    , m_probes(now, 0, probeCost)
{}

void TargetState::update(const TargetSpec &spec, TimePoint now)
{
    const bool returns = !isUsable() && spec.acceptsWork;
    const bool moved = spec.address != m_spec.address;
    m_spec = normalized(spec);
    m_limit = std::clamp(m_limit, m_spec.coldLimit, m_spec.slots);
    if (moved)
        m_draining = false;
    if (moved || returns) {
        m_ejection.readmit(now);
        forget();
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
    m_startSum += now - m_origin;
}

void TargetState::attemptEnded(TimePoint startedAt, TimePoint now)
{
    if (m_outstanding >= m_peakOutstanding) {
        m_peakOutstanding = m_outstanding;
        m_peakAt = now;
    }
    --m_outstanding;
    m_startSum -= startedAt - m_origin;
}

double TargetState::runningAges(TimePoint now) const
{
    return toSeconds((now - m_origin) * m_outstanding - m_startSum);
}

int TargetState::recentOutstanding(TimePoint now) const
{
    return now - m_peakAt < kReportDelay ? std::max(m_peakOutstanding, m_outstanding)
                                         : m_outstanding;
}

int TargetState::usableLimit(TimePoint now) const
{
    int limit = m_limit;
    if (now < m_shedUntil)
        limit = std::min(limit, m_shedLimit);
    // A wrong report may cost a warm target half of its slots; at a cold one foreign work counts
    // fully, because the cold limit holds over all entries.
    const int foreign = foreignLoad(now);
    if (m_cold)
        return std::max(0, limit - foreign);
    return std::max(1, limit - std::min(foreign, m_spec.slots / 2));
}

void TargetState::forget()
{
    m_known = false;
    resetToCold();
}

void TargetState::resetToCold()
{
    m_cold = true;
    m_limit = m_spec.coldLimit;
}

void TargetState::raiseLimit()
{
    m_known = true;
    m_cold = false;
    m_limit = std::min(m_spec.slots, m_limit + 1);
    if (m_shedCount > 0)
        --m_shedCount;
}

void TargetState::reduceAfterShed(TimePoint now)
{
    m_shedLimit = std::max(1, m_outstanding);
    m_shedUntil = now + kShedHold * (1 << std::min(m_shedCount, kMaximumShedDoublings));
    ++m_shedCount;
}

void TargetState::applyReport(const LoadReport &report, TimePoint now)
{
    const bool restarted = report.startId != 0 && m_startId != 0 && report.startId != m_startId;
    if (report.startId != 0)
        m_startId = report.startId;
    if (report.phase == TargetPhase::Draining) {
        adoptDraining(now);
    } else if (restarted || now - m_drainingAt >= kDrainHold) {
        if (m_draining)
            resetToCold();
        m_draining = false;
    }
    if (restarted || report.phase == TargetPhase::Cold)
        resetToCold();
    else if (report.phase == TargetPhase::Warm)
        markKnown(m_cold);
    m_foreign.report(report.inFlight, recentOutstanding(now), now);
}

void TargetState::recordQuickness(bool quick)
{
    m_quickShare += ((quick ? 1 : 0) - m_quickShare) / kQuickShareAttempts;
}

void TargetState::adoptDraining(TimePoint now)
{
    m_draining = true;
    m_drainingAt = now;
}

void TargetState::adoptWarm()
{
    markKnown(false);
    m_draining = false;
}

void TargetState::adoptCold()
{
    m_known = true;
    resetToCold();
}

void TargetState::markKnown(bool cold)
{
    m_known = true;
    m_cold = cold;
}

} // namespace lycheebay
