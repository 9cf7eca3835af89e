#pragma once

#include "routing/internal/ejection.h"
#include "routing/internal/foreignload.h"
#include "routing/internal/latencyestimate.h"
#include "routing/internal/probeplanner.h"
#include "routing/routingtypes.h"

namespace lycheebay {

/// What the dispatcher knows of one target: outstanding attempts, limit with its ramp, latency,
/// health. Not thread-safe.
class TargetState
{
public:
    TargetState(const TargetSpec &spec, std::uint32_t ordinal, Duration probeCost, TimePoint now);

    const TargetSpec &spec() const { return m_spec; }
    /// Takes over a new description; a new address or a return to service starts cold.
    void update(const TargetSpec &spec, TimePoint now);
    /// Distinguishes targets even when an id is used again.
    std::uint32_t ordinal() const { return m_ordinal; }
    bool isListed() const { return m_listed; }
    void setListed(bool listed) { m_listed = listed; }

    int outstanding() const { return m_outstanding; }
    void attemptStarted(TimePoint now);
    void attemptEnded(TimePoint startedAt, TimePoint now);
    /// Sum of the ages of the running attempts, in seconds.
    double runningAges(TimePoint now) const;
    /// The largest outstanding count of the last few milliseconds.
    int recentOutstanding(TimePoint now) const;

    bool isCold() const { return m_cold; }
    /// False until a response, a probe or a peer's verdict told whether the target is warm.
    bool isKnown() const { return m_known; }
    bool isDraining() const { return m_draining; }
    /// True when the target may get work, apart from ejection and cold start.
    bool isUsable() const { return m_listed && m_spec.acceptsWork && !m_draining; }
    bool isRamping() const { return m_limit < m_spec.slots; }
    int coldLimit() const { return m_spec.coldLimit; }
    /// Limit of the ramp.
    int limit() const { return m_limit; }
    /// Limit that counts for a new assignment: ramp, recent sheds and reported foreign load.
    int usableLimit(TimePoint now) const;
    bool hasShedRecently(TimePoint now) const { return now < m_shedUntil; }
    int foreignLoad(TimePoint now) const { return m_foreign.load(now); }

    /// Makes the target unknown and cold, for one that was removed and may return.
    void forget();
    /// Shrinks to the cold limit.
    void resetToCold();
    /// Raises the limit by one step of the ramp.
    void raiseLimit();
    /// Lowers the limit for a short time after the target shed a request.
    void reduceAfterShed(TimePoint now);
    /// Applies the report of a response or a probe.
    void applyReport(const LoadReport &report, TimePoint now);
    void adoptWarm();
    void adoptDraining(TimePoint now);
    void adoptCold();

    void recordResponse(TimePoint now) { m_lastResponse = now; }
    TimePoint lastResponse() const { return m_lastResponse; }
    void recordOutcome(TimePoint now) { m_lastOutcome = now; }
    /// Time of the last own attempt's end; the epoch when there was none.
    TimePoint lastOutcome() const { return m_lastOutcome; }

    /// Adds an attempt to quickShare(). \a quick is false for one that was given up.
    void recordQuickness(bool quick);
    /// Share of the last few attempts that were answered about as quickly as the cell's median.
    double quickShare() const { return m_quickShare; }

    LatencyEstimate &latency() { return m_latency; }
    double estimatedSeconds(double prior, TimePoint now) const
    {
        return m_latency.seconds(prior, runningAges(now), now);
    }
    Ejection &ejection() { return m_ejection; }
    const Ejection &ejection() const { return m_ejection; }
    ProbePlanner &probes() { return m_probes; }
    const ProbePlanner &probes() const { return m_probes; }

private:
    void markKnown(bool cold);

    TargetSpec m_spec;
    std::uint32_t m_ordinal;
    bool m_listed = true;
    int m_outstanding = 0;
    Duration m_startSum{};
    TimePoint m_origin;
    int m_peakOutstanding = 0;
    TimePoint m_peakAt;
    bool m_cold = true;
    bool m_known = false;
    bool m_draining = false;
    TimePoint m_drainingAt;
    int m_limit;
    int m_shedLimit = 0;
    int m_shedCount = 0;
    TimePoint m_shedUntil;
    std::uint64_t m_startId = 0;
    ForeignLoad m_foreign;
    TimePoint m_lastResponse;
    TimePoint m_lastOutcome;
    double m_quickShare = 0;
    LatencyEstimate m_latency;
    Ejection m_ejection;
    ProbePlanner m_probes;
};

} // namespace lycheebay
