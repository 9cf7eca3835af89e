#pragma once

#include "routing/internal/admissionqueue.h"
#include "routing/internal/istrategy.h"
#include "routing/internal/targettable.h"

namespace lycheebay {

/// Determines which targets the dispatcher may use in its role.
struct RoleRules
{
    DispatchRole role = DispatchRole::Owner;
    TimePoint coldAllowedFrom;
};

/// Determines the targets that may get a request now, their estimated latencies and the service
/// rate of the whole cell. Each refresh takes O(targets). Not thread-safe.
class TargetSelector
{
public:
    explicit TargetSelector(const TargetTable &targets)
        : m_targets(targets)
    {}

    /// Recomputes everything from the target table. \a prior is the cell's mean latency in seconds;
    /// \a boundedBySlots tells whether warm targets have a limit.
    void refresh(const RoleRules &rules, bool boundedBySlots, double prior, TimePoint now);

    /// Targets below their limit, in list order.
    std::vector<Candidate> &candidates() { return m_candidates; }
    /// Warm targets without a free slot that may get one more request, in list order.
    std::vector<Candidate> &fullTargets() { return m_fullTargets; }
    /// An ejected target that is due for a trial request, or null.
    TargetState *trialTarget() const { return m_trialTarget; }
    /// Number of targets in service, below their limit or not.
    std::size_t inServiceCount() const { return m_inServiceCount; }
    /// Number of targets, cold or of unknown phase, that get work only from
    /// RoleRules::coldAllowedFrom on.
    std::size_t coldNotAllowedCount() const { return m_coldNotAllowedCount; }
    /// True if there is a target in service to which \a request was not sent yet.
    bool hasUntriedTarget(const RequestState &request) const;

    /// Harmonic mean of the estimated latencies, in seconds: a few slow targets hardly change it, a
    /// slowdown of the whole cell does. Zero if no target is in service.
    double referenceLatency() const;
    /// Arithmetic mean of the estimated latencies of the targets in service, in seconds.
    double meanLatency() const;
    /// True if sending to a target with this latency estimate, in seconds, is better than waiting
    /// for another target.
    bool isAcceptable(double latency, Duration waited) const;
    /// Estimated time until the request at \a position in the queue starts.
    Duration estimatedWait(std::size_t position) const;

    /// True if \a target may get one more attempt that is not a trial.
    static bool mayAssign(const TargetState &target, const RoleRules &rules, bool boundedBySlots,
                          TimePoint now);
    /// True if \a target may get one attempt more than its slots, which waits there.
    static bool mayExceedSlots(const TargetState &target, const RoleRules &rules, TimePoint now);
    static bool wasTried(const RequestState &request, const TargetState &target);

private:
    static bool isPermitted(const TargetState &target, const RoleRules &rules, TimePoint now);
    void addInService(std::size_t position, const RoleRules &rules, bool boundedBySlots,
                      double prior, TimePoint now);

    const TargetTable &m_targets;
    std::vector<Candidate> m_candidates;
    std::vector<Candidate> m_fullTargets;
    TargetState *m_trialTarget = nullptr;
    std::size_t m_inServiceCount = 0;
    std::size_t m_coldNotAllowedCount = 0;
    double m_latencySum = 0;
    double m_inverseLatencySum = 0;
    double m_serviceRate = 0;
};

} // namespace lycheebay
