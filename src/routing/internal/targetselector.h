#pragma once

#include "routing/internal/admissionqueue.h"
#include "routing/internal/istrategy.h"
#include "routing/internal/targettable.h"

namespace lycheebay {

/// Which targets the dispatcher's role permits.
struct RoleRules
{
    DispatchRole role = DispatchRole::Owner;
    TimePoint coldAllowedFrom;
};

/// Finds the targets that may get a request now, with their estimated latencies and the service
/// rate of the whole cell. Each refresh costs O(targets). Not thread-safe.
class TargetSelector
{
public:
    explicit TargetSelector(const TargetTable &targets)
        : m_targets(targets)
    {}

    /// Reads all targets. \a prior is the cell's mean latency in seconds; \a boundedBySlots tells
    /// whether warm targets have a limit.
    void refresh(const RoleRules &rules, bool boundedBySlots, double prior, TimePoint now);

    /// Targets with room, in list order.
    std::vector<Candidate> &candidates() { return m_candidates; }
    /// Warm targets whose slots are all taken and that may get one request more, in list order.
    std::vector<Candidate> &fullTargets() { return m_fullTargets; }
    /// An ejected target whose trial is due, or null.
    TargetState *trial() const { return m_trial; }
    /// Targets in service, with or without room.
    std::size_t inServiceCount() const { return m_inService; }
    /// Cold or unknown targets that become permitted at RoleRules::coldAllowedFrom.
    std::size_t waitingForColdCount() const { return m_waitingForCold; }
    /// True when a target in service was not tried by \a request.
    bool hasUntried(const RequestState &request) const;

    /// Harmonic mean of the estimated latencies: a few slow targets hardly move it, a slowdown of
    /// the whole cell does. In seconds; zero when nothing is in service.
    double referenceLatency() const;
    /// Arithmetic mean of the estimated latencies of the targets in service. In seconds.
    double meanLatency() const;
    /// True when sending to a target with this estimate is better than waiting for another one.
    bool isAcceptable(double latency, Duration waited) const;
    /// Estimated time until the request at \a position of the queue starts.
    Duration waitAt(std::size_t position) const;

    /// True when \a target may get one more attempt that is not a trial.
    static bool mayAssign(const TargetState &target, const RoleRules &rules, bool boundedBySlots,
                          TimePoint now);
    /// True when \a target may get one attempt beyond its slots, which waits there.
    static bool mayExceedSlots(const TargetState &target, const RoleRules &rules, TimePoint now);
    static bool wasTried(const RequestState &request, const TargetState &target);

private:
    static bool isPermitted(const TargetState &target, const RoleRules &rules, TimePoint now);
    void addInService(std::size_t position, const RoleRules &rules, bool boundedBySlots,
                      double prior, TimePoint now);

    const TargetTable &m_targets;
    std::vector<Candidate> m_candidates;
    std::vector<Candidate> m_fullTargets;
    TargetState *m_trial = nullptr;
    std::size_t m_inService = 0;
    std::size_t m_waitingForCold = 0;
    double m_latencySum = 0;
    double m_inverseSum = 0;
    double m_rate = 0;
};

} // namespace lycheebay
