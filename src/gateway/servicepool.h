#pragma once

#include "base/irandomsource.h"
#include "base/stringmap.h"
#include "gateway/estateview.h"
#include "gateway/itargetprotocol.h"
#include "gateway/requestpacer.h"
#include "gateway/servicetimeestimate.h"
#include "gateway/targethealth.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheebay {

/// How near a target is to the instance. The nearest targets that are eligible are used.
enum class Proximity {
    Owned,      ///< this instance is its dispatcher
    SameDomain, ///< its dispatcher is another instance of the failure domain
    SameRegion,
    OtherRegion,
};

/// A target and its relation to this instance.
struct PoolTarget
{
    TargetRecord record;
    std::string region;
    Proximity proximity = Proximity::Owned;
    /// The target's failure domain is drained.
    bool drained = false;

    auto operator<=>(const PoolTarget &) const = default;
};

/// Returns a key that is unique for each incarnation of a target.
std::string targetKey(const TargetRecord &record);

using QueuedRequestId = std::uint64_t;

/// A request that waits for a target.
struct QueuedRequest
{
    QueuedRequestId id = 0;
    /// 0 is the highest priority.
    int priority = 0;
    TimePoint arrival;
    /// Latency objective: an answer by then has its full value. May be in the past.
    TimePoint objective;
    /// When a request that can no longer meet its objective is refused if no target was found.
    TimePoint refuseAt;
    /// When the caller's deadline or the route's timeout expires.
    TimePoint deadline;
    /// Regions that may serve the request; empty means all.
    std::vector<std::string> homeRegions;
    /// Another dispatcher may serve the request. It leaves the queue early if it is likely to wait
    /// for much of the time that it has.
    bool mayLeave = false;
    /// Keys of the targets that already got the request and must not get it again.
    std::vector<std::string> triedTargets;

    auto operator<=>(const QueuedRequest &) const = default;
};

/// Why a queued request is refused instead of being sent.
enum class RefusalReason {
    NoTarget,   ///< no target is eligible
    QueueFull,  ///< after the expected wait it could not meet its objective
    Crowded,    ///< it could still wait, but should be offered to another dispatcher first
    NotOwner,   ///< only targets of other dispatchers may serve it; it should be offered to them
    WaitedLong, ///< no suitable target became free in time
};

/// Assignment of a queued request to a target.
struct Placement
{
    QueuedRequestId requestId = 0;
    TargetRecord target;
    /// Expected service time.
    Duration expected{};
    /// Age of the load report that the choice is based on; null if there is none.
    std::optional<Duration> loadAge;
    double slowdown = 1;
    /// Number of requests that stay in the queue.
    std::size_t queued = 0;
};

/// Refusal of a queued request.
struct Refusal
{
    QueuedRequestId requestId = 0;
    RefusalReason reason = RefusalReason::NoTarget;
    /// Time after which a retry is likely to succeed.
    Duration retryAfter{};
    std::size_t queued = 0;
};

/// Result of ServicePool::decide().
struct PoolDecisions
{
    std::vector<Placement> placements;
    std::vector<Refusal> refusals;
    /// Targets to probe for their load.
    std::vector<TargetRecord> probes;
    /// When to call decide() again if nothing else changes.
    std::optional<TimePoint> nextCheck;
};

struct ServicePoolSettings
{
    /// Fraction of a target's slots that is used. Targets slow down when nearly full, so using the
    /// last slot lowers their throughput.
    double slotShare = 0.8;
    /// A target whose load report is older than this is probed before a request is placed.
    Duration loadFreshness = std::chrono::milliseconds(40);
    /// Owned targets without a load report or probe for this long are probed even without requests.
    Duration idleProbePeriod = std::chrono::milliseconds(1000);
    /// How long a request waits for up-to-date load reports.
    Duration probeWait = std::chrono::milliseconds(15);

    auto operator<=>(const ServicePoolSettings &) const = default;
};

/// Load balancer and admission queue for the targets of one service, whose speeds differ and change
/// from one moment to the next. A request is placed on a free target that can meet its latency
/// objective, waits while such a target may still become free, and is refused at once if the
/// expected wait is too long. Requests that can no longer meet their objective only get capacity
/// that the others leave, so that a burst does not delay all later requests. A target that names a
/// limit gets requests from its dispatcher only, evenly spaced. Does no I/O. Not thread-safe. `now`
/// must not decrease.
class ServicePool
{
public:
    ServicePool(const ServicePoolSettings &settings, Duration targetLatency, IRandomSource &random);

    /// Replaces the targets. The state of targets that remain is kept.
    void setTargets(const std::vector<PoolTarget> &targets);
    /// Sets the maximum rate of requests to each cold target. Only the owner sends requests to a
    /// cold target, since several instances together would exceed the rate. \a mayUseCold is false
    /// while it is not known which targets this instance owns.
    void setColdPolicy(double requestsPerSecond, bool mayUseCold);

    /// Adds a request. Precondition: its id is not in the queue.
    void enqueue(const QueuedRequest &request);
    /// Removes a request; does nothing if it is not in the queue.
    void cancel(QueuedRequestId requestId);
    /// Places or refuses the queued requests that can be decided now.
    PoolDecisions decide(TimePoint now);

    /// The following functions do nothing if the target is no longer in the pool.
    void updateLoad(const std::string &key, const TargetLoad &load, TimePoint now);
    void updateColdTime(const std::string &key, Duration left, TimePoint now);
    /// Sets the requests per second that a target accepts from all instances together; null for no
    /// limit. Returns true if that changes what was known.
    bool updateRequestLimit(const std::string &key, std::optional<double> perSecond, TimePoint now);
    /// Sends the target nothing until \a pause has passed; a longer known pause stays. It then gets
    /// requests gradually.
    void pauseTarget(const std::string &key, Duration pause, TimePoint now);
    void recordProbe(const std::string &key, bool answered, TimePoint now);
    /// Reports the end of an attempt that decide() placed. \a elapsed is null if the target did not
    /// process the request.
    void finish(const std::string &key, AttemptResult result, std::optional<Duration> elapsed,
                TimePoint now);

    std::size_t queueLength() const { return m_queue.size(); }
    std::size_t inFlight() const;
    Duration baselineServiceTime() const { return m_serviceTime.baseline(); }

private:
    struct TargetState
    {
        PoolTarget target;
        std::string key;
        TargetHealth health;
        int inFlight = 0;
        /// Requests of other instances according to the last load report.
        int otherInFlight = 0;
        double slowdown = 1;
        std::optional<TimePoint> loadReportedAt;
        std::optional<TimePoint> probeSentAt;
        TimePoint coldUntil;
        /// Paces the requests while the target is cold or names a limit.
        RequestPacer pacer;
        /// Requests per second that the target accepts; null if it names no limit.
        std::optional<double> requestLimit;
        TimePoint requestLimitReportedAt;
        /// The target wants no request before.
        TimePoint pausedUntil;
        /// No response has been received yet, so the target may be cold.
        bool noResponseYet = true;
    };
    struct Candidate
    {
        TargetState *target = nullptr;
        Duration expected{};
    };

    TargetState *find(const std::string &key);
    bool isCold(const TargetState &it, TimePoint now) const;
    bool mayUseCold(const TargetState &it) const;
    /// Slots that the target may use so shortly after a pause; all of them if there was none.
    int slotsAfterPause(const TargetState &it, int slots, TimePoint now) const;
    /// Returns the time until the first target that could serve the request ends its pause; null if
    /// none pauses.
    std::optional<Duration> shortestPause(const QueuedRequest &request, TimePoint now) const;
    /// True if neither its registration nor the request keep a target from it.
    bool isAllowed(const TargetState &it, const QueuedRequest &request) const;
    bool hasRequestLimit(const TargetState &it, TimePoint now) const;
    /// Returns the requests per second that the target may get; null if only its slots bound them.
    std::optional<double> rateLimitOf(const TargetState &it, TimePoint now) const;
    /// Requests per second that the target completes at most.
    double throughputOf(const TargetState &it, TimePoint now) const;
    int concurrencyLimitOf(const TargetState &it, TimePoint now) const;
    int freeSlots(const TargetState &it, TimePoint now) const;
    int otherInFlightOf(const TargetState &it, TimePoint now) const;
    bool isFresh(const TargetState &it, TimePoint now) const;
    double slowdownOf(const TargetState &it, TimePoint now) const;
    bool isEligible(const TargetState &it, const QueuedRequest &request, TimePoint now,
                    bool allowEjected) const;
    std::vector<TargetState *> eligibleTargets(const QueuedRequest &request, TimePoint now);
    Candidate selectFastest(const std::vector<TargetState *> &targets, TimePoint now) const;
    bool probeForLoad(const std::vector<TargetState *> &targets, const QueuedRequest &request,
                      TimePoint now, PoolDecisions &decisions);
    bool canMeetObjective(const QueuedRequest &request, TimePoint now) const;
    /// The following functions return true if the request was placed or refused.
    bool decideRequest(const QueuedRequest &request, TimePoint now, PoolDecisions &decisions);
    bool decideInTime(const QueuedRequest &request, const std::vector<TargetState *> &targets,
                      const Candidate &choice, TimePoint now, PoolDecisions &decisions);
    bool decideLate(const QueuedRequest &request, const Candidate &choice, TimePoint now,
                    PoolDecisions &decisions);
    void place(const QueuedRequest &request, const Candidate &choice, TimePoint now,
               PoolDecisions &decisions);
    void refuse(const QueuedRequest &request, RefusalReason reason, TimePoint now,
                PoolDecisions &decisions);
    Duration expectedWait(const std::vector<TargetState *> &targets, std::size_t ahead,
                          TimePoint now) const;
    Duration retryAfter(Duration wait);
    void probeIdleTargets(TimePoint now, PoolDecisions &decisions);
    void scheduleCheck(TimePoint at, PoolDecisions &decisions) const;

    const ServicePoolSettings m_settings;
    IRandomSource &m_random;
    ServiceTimeEstimate m_serviceTime;
    /// Mean time for which a request occupies a slot, including on slow targets.
    Duration m_slotHoldTime;
    double m_coldRequestsPerSecond = 1;
    bool m_mayUseCold = false;
    std::vector<TargetState> m_targets;
    std::vector<QueuedRequest> m_queue;
    /// Requests that the current decide() has left in the queue before the one being decided.
    std::size_t m_requestsAhead = 0;
};

} // namespace lycheebay
