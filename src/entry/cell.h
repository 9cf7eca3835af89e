#pragma once

#include "routing/celldispatcher.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <variant>

namespace lycheebay {

/// What a request that wants a target gets in the end.
using Grant = std::variant<Assignment, Shed>;
/// Tells whether nobody waits for a request any more.
using IsAbandoned = std::function<bool()>;

/// A CellDispatcher that request threads share. Thread-safe; one mutex, held for the time of one
/// dispatcher call.
class Cell
{
public:
    Cell(const DispatcherSettings &settings, std::uint64_t seed, const IClock &clock);

    /// Waits for a target, at most until the request's deadline. A request that was abandoned
    /// while it waited is shed as Closed. finish() must follow.
    Grant submit(RequestId request, const RequestTraits &traits, const IsAbandoned &isAbandoned);
    /// As submit(), for another attempt. Preconditions: those of CellDispatcher::retry().
    Grant retry(RequestId request, const RequestTraits &traits, const IsAbandoned &isAbandoned);
    std::optional<Assignment> hedge(RequestId request);
    Duration hedgeDelay() const;
    void complete(AttemptId attempt, const AttemptResult &result);
    void finish(RequestId request);

    void updateTargets(const std::vector<TargetSpec> &targets);
    void setRole(DispatchRole role, TimePoint coldAllowedFrom);
    DispatchRole role() const { return m_role; }

    /// Returns none unless this instance owns the cell.
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
        std::optional<Grant> grant;
    };

    Grant await(std::unique_lock<std::mutex> &lock, RequestId request, const Decision &decision,
                const RequestTraits &traits, const IsAbandoned &isAbandoned);
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
