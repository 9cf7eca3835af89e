#pragma once

#include "base/seededrandom.h"
#include "routing/internal/admissionqueue.h"
#include "routing/internal/attempt.h"
#include "routing/internal/outcomerecorder.h"
#include "routing/internal/targetselector.h"
#include "routing/internal/tokenbucket.h"

#include <unordered_map>

namespace lycheebay {

/// Implements CellDispatcher, whose documentation covers the methods of the same name: admission,
/// queueing, assignment, retries and hedges. Not thread-safe.
class CellCore
{
public:
    CellCore(DispatcherSettings settings, std::uint64_t seed);

    std::vector<Resolution> updateTargets(const std::vector<TargetSpec> &targets, TimePoint now);
    std::vector<Resolution> setRole(DispatchRole role, TimePoint coldAllowedFrom, TimePoint now);
    Decision submit(RequestId request, const RequestTraits &traits, TimePoint now);
    Decision retry(RequestId request, TimePoint now);
    std::optional<Assignment> hedge(RequestId request, TimePoint now);
    Duration hedgeDelay() const;
    std::vector<Resolution> complete(AttemptId attempt, const AttemptResult &result, TimePoint now);
    void finish(RequestId request);
    std::vector<Resolution> tick(TimePoint now);
    std::vector<Probe> dueProbes(TimePoint now);
    std::vector<Resolution> completeProbe(std::string_view targetId,
                                          const std::optional<LoadReport> &load, TimePoint now);
    void adoptVerdict(const TargetVerdict &verdict, TimePoint now);
    std::size_t queuedCount() const { return m_queue.size() + m_pendingResolutions.size(); }

    const TargetTable &targets() const { return m_targets; }
    const LatencyHistogram &latencies() const { return m_recorder.latencies(); }

private:
    Decision place(RequestState &request, TimePoint now);
    Decision queueUntilColdAllowed(RequestState &request, TimePoint now);
    Decision enqueue(RequestState &request, TimePoint now);
    std::optional<Assignment> tryAssign(RequestState &request, TimePoint now);
    TargetState *chooseTarget(const RequestState &request);
    Assignment assign(RequestState &request, TargetState &target, AttemptKind kind, TimePoint now);
    void checkAssignment(const TargetState &target, AttemptKind kind, TimePoint now) const;

    void refresh(TimePoint now);
    std::vector<Resolution> processQueue(TimePoint now);
    void shedExpired(TimePoint now);
    void assignQueued(TimePoint now);
    void assignBeyondSlots(TimePoint now);
    void assignQueuedTo(RequestState &request, TargetState &target, AttemptKind kind,
                        TimePoint now);
    void assignTrial(TimePoint now);
    RequestState *nextQueuedFor(const TargetState &target) const;
    void shedQueued(RequestState &request, ShedReason reason, TimePoint now);
    void shedLateLowPriority(TimePoint now);

    bool canMeetDeadline(const RequestTraits &traits, TimePoint now) const;
    bool canServeAsTrial(const RequestState &request) const;
    Duration maxQueueWait(const RequestTraits &traits, TimePoint now) const;
    Shed makeShed(const RequestState &request, ShedReason reason, TimePoint now);

    DispatcherSettings m_settings;
    SeededRandom m_random;
    std::unique_ptr<IStrategy> m_strategy;
    RoleRules m_rules;
    TargetTable m_targets;
    TargetSelector m_selector;
    OutcomeRecorder m_recorder;
    TokenBucket m_retryBudget;
    TokenBucket m_hedgeBudget;
    std::unordered_map<RequestId, std::unique_ptr<RequestState>> m_requests;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    // Declared after m_requests: the lists must be destroyed before their elements.
    AdmissionQueue m_queue;
    std::vector<Resolution> m_pendingResolutions;
    AttemptId m_nextAttempt = 1;
};

} // namespace lycheebay
