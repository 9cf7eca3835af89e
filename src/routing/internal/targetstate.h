#pragma once

#include "routing/internal/externalload.h"
#include "routing/internal/latencyestimate.h"
#include "routing/internal/outlierdetector.h"
#include "routing/internal/probeplanner.h"
#include "routing/routingtypes.h"

namespace lycheebay {

/// State of one target: outstanding attempts, concurrency limit with slow start, latency and
/// health. Not thread-safe.
class TargetState
{
public:
    TargetState(const TargetSpec &spec, std::uint32_t ordinal, Duration probeCost, TimePoint now);

    const TargetSpec &spec() const { return m_spec; }
    /// Applies a new specification; a target with a new address or back in service starts cold.
    void update(const TargetSpec &spec, TimePoint now);
    /// Unique number of the target, even if its id is reused.
    std::uint32_t ordinal() const { return m_ordinal; }
    bool isListed() const { return m_listed; }
    void setListed(bool listed) { m_listed = listed; }

    int outstanding() const { return m_outstanding; }
    void attemptStarted(TimePoint now);
    void attemptEnded(TimePoint startedAt, TimePoint now);
    /// Sum of the ages of the outstanding attempts, in seconds.
    double outstandingAgeSeconds(TimePoint now) const;
    /// The highest outstanding count in the time that a load report may be delayed.
    int recentOutstanding(TimePoint now) const;

    bool isCold() const { return m_cold; }
    /// False until a response, a probe or a peer's verdict tells whether the target is warm.
    bool isPhaseKnown() const { return m_phaseKnown; }
    bool isDraining() const { return m_draining; }
    /// True if the target may get work, disregarding ejection and cold start.
    bool isUsable() const { return m_listed && m_spec.acceptsWork && !m_draining; }
    bool isInSlowStart() const { return m_limit < m_spec.slots; }
    int coldLimit() const { return m_spec.coldLimit; }
    /// Concurrency limit, which slow start raises step by step to the slots.
    int limit() const { return m_limit; }
    /// Limit for a new assignment: limit() reduced by recent sheds and reported external load.
    int usableLimit(TimePoint now) const;
    bool hasShedRecently(TimePoint now) const { return now < m_shedUntil; }
    int externalLoad(TimePoint now) const { return m_externalLoad.load(now); }

    /// Makes the phase unknown and the target cold, for one that was removed and may return.
    void resetToUnknown();
    /// Marks the target as cold and resets its limit to the cold limit.
    void resetToCold();
    /// Marks the target as warm and raises the limit by one.
    void raiseLimit();
    /// Lowers the usable limit for a short time after the target shed a request.
    void reduceAfterShed(TimePoint now);
    /// Applies the report of a response or a probe.
    void applyReport(const LoadReport &report, TimePoint now);
    void adoptWarm();
    void adoptDraining(TimePoint now);
    void adoptCold();

    void recordResponse(TimePoint now) { m_lastResponse = now; }
    TimePoint lastResponse() const { return m_lastResponse; }
    void recordOutcome(TimePoint now) { m_lastOutcome = now; }
    /// Time at which the last own attempt ended; the epoch if none has.
    TimePoint lastOutcome() const { return m_lastOutcome; }

    /// Adds an attempt to fastShare(). \a fast is false for a slow or abandoned one.
    void recordFast(bool fast);
    /// Share of the last few attempts that were answered within a small multiple of the cell's
    /// median latency.
    double fastShare() const { return m_fastShare; }

    LatencyEstimate &latency() { return m_latency; }
    double estimatedSeconds(double prior, TimePoint now) const
    {
        return m_latency.seconds(prior, outstandingAgeSeconds(now), now);
    }
    OutlierDetector &outlierDetector() { return m_outlierDetector; }
    const OutlierDetector &outlierDetector() const { return m_outlierDetector; }
    ProbePlanner &probes() { return m_probes; }
    const ProbePlanner &probes() const { return m_probes; }

private:
    void setPhase(bool cold);

    TargetSpec m_spec;
    std::uint32_t m_ordinal;
    bool m_listed = true;
    int m_outstanding = 0;
    Duration m_startTimeSum{};
    TimePoint m_createdAt;
    int m_peakOutstanding = 0;
    TimePoint m_peakAt;
    bool m_cold = true;
    bool m_phaseKnown = false;
    bool m_draining = false;
    TimePoint m_drainingAt;
    int m_limit;
    int m_shedLimit = 0;
    int m_shedCount = 0;
    TimePoint m_shedUntil;
    std::uint64_t m_startId = 0;
    ExternalLoad m_externalLoad;
    TimePoint m_lastResponse;
    TimePoint m_lastOutcome;
    double m_fastShare = 0;
    LatencyEstimate m_latency;
    OutlierDetector m_outlierDetector;
    ProbePlanner m_probes;
};

} // namespace lycheebay
