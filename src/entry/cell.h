#pragma once

#include "routing/celldispatcher.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <variant>

namespace lycheebay {

/// Final decision on a request that waits for a target: an assignment, or a shed.
using DispatchResult = std::variant<Assignment, Shed>;
/// Returns whether the caller stopped waiting for the response.
using IsAbandoned = std::function<bool()>;

/// Thread-safe wrapper of a CellDispatcher. One mutex guards it and is held only during a
/// dispatcher call, never while a request waits.
class Cell
{
public:
    Cell(const DispatcherSettings &settings, std::uint64_t seed, const IClock &clock);

    /// Waits for a target, at most until the request's deadline. A request whose caller gives up
    /// while it waits is shed as Closed. The caller of submit() must call finish() afterwards.
    DispatchResult submit(RequestId request, const RequestTraits &traits,
                          const IsAbandoned &isAbandoned);
    /// Like submit(), for another attempt at the same request. Preconditions: those of
    /// CellDispatcher::retry().
    DispatchResult retry(RequestId request, const RequestTraits &traits,
                         const IsAbandoned &isAbandoned);
    std::optional<Assignment> hedge(RequestId request);
    Duration hedgeDelay() const;
    void complete(AttemptId attempt, const AttemptResult &result);
    void finish(RequestId request);

    void updateTargets(const std::vector<TargetSpec> &targets);
    void setRole(DispatchRole role, TimePoint coldAllowedFrom);
    DispatchRole role() const { return m_role; }

    /// Returns the probes that are due; empty unless this instance owns the cell.
    std::vector<Probe> dueProbes();
    void completeProbe(std::string_view targetId, const std::optional<LoadReport> &load);

    std::vector<TargetVerdict> verdicts() const;
    void adoptVerdicts(const std::vector<TargetVerdict> &verdicts);
    std::vector<TargetStatus> status() const;
    std::size_t queuedCount() const;

private:
    struct Waiter
    {
        std::condition_variable decided;
        std::optional<DispatchResult> result;
    };

    DispatchResult waitForResult(std::unique_lock<std::mutex> &lock, RequestId request,
                                 const Decision &decision, const RequestTraits &traits,
                                 const IsAbandoned &isAbandoned);
    void tick();
    void deliver(const std::vector<Resolution> &resolutions);

    const IClock &m_clock;
    mutable std::mutex m_mutex;
    CellDispatcher m_dispatcher;
    std::unordered_map<RequestId, Waiter *> m_waiters;
    TimePoint m_lastTick;
    std::atomic<DispatchRole> m_role{ DispatchRole::Fallback };
};

} // namespace lycheebay
