#pragma once

#include "base/irandomsource.h"
#include "base/stringmap.h"
#include "gateway/estateview.h"
#include "gateway/itargetprotocol.h"
#include "gateway/servicetimeestimate.h"
#include "gateway/targethealth.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheebay {

/// How near a target is to the instance. Nearer ones are used as long as any of them can be.
enum class Proximity {
    Owned,      ///< this instance is the one that dispatches to it
    SameDomain, ///< another instance of the failure domain dispatches to it
    SameRegion,
    OtherRegion,
};

/// A target as one pool sees it.
struct PoolTarget
{
    TargetRecord record;
    std::string region;
    Proximity proximity = Proximity::Owned;
    /// The target's failure domain is drained.
    bool drained = false;

    auto operator<=>(const PoolTarget &) const = default;
};

/// Names one incarnation of a target.
std::string targetKey(const TargetRecord &record);

using QueuedRequestId = std::uint64_t;

/// A request that waits for a target.
struct QueuedRequest
{
    QueuedRequestId id = 0;
    /// 0 is the most urgent.
    int priority = 0;
    TimePoint arrival;
    /// Until then an answer has its full value. May lie in the past.
    TimePoint objective;
    /// A ticket that can no longer meet its objective is refused if it has no target by then.
    TimePoint refuseAt;
    /// The caller or the route waits no longer.
    TimePoint deadline;
    /// Regions that may serve the request; empty means all.
    std::vector<std::string> homeRegions;
    /// Keys of targets that must not get the request again.
    std::vector<std::string> triedTargets;

    auto operator<=>(const QueuedRequest &) const = default;
};

/// Why a request is refused without having been sent.
enum class RefusalReason {
    NoTarget,   ///< no target may serve it now
    QueueFull,  ///< the expected wait leaves no time for the work
    WaitedLong, ///< no target became free in time
};

struct Placement
{
    QueuedRequestId requestId = 0;
    TargetRecord target;
    /// Time that the work is expected to take.
    Duration expected{};
    /// Age of the load reading that the choice rests on; null without a reading.
    std::optional<Duration> loadAge;
    double slowdown = 1;
    /// Tickets that went on waiting.
    std::size_t queued = 0;
};

struct Refusal
{
    QueuedRequestId requestId = 0;
    RefusalReason reason = RefusalReason::NoTarget;
    /// When a repeat has a fair chance.
    Duration retryAfter{};
    std::size_t queued = 0;
};

/// What to do now.
struct PoolDecisions
{
    std::vector<Placement> placements;
    std::vector<Refusal> refusals;
    /// Targets whose load is to be asked for.
    std::vector<TargetRecord> probes;
    /// When decide() has to be called again if nothing else happens.
    std::optional<TimePoint> nextCheck;
};

struct ServicePoolSettings
{
    /// Share of a target's slots that is used. Targets become slow when nearly full, so that the
    /// last slot lowers their throughput.
    double slotShare = 0.8;
    /// A load reading older than this is asked for again before a request is placed.
    Duration loadFreshness = std::chrono::milliseconds(40);
    /// A target that was not heard of for this long is probed even without requests.
    Duration idleProbePeriod = std::chrono::milliseconds(1000);
    /// How long a request waits for fresh load readings.
    Duration probeWait = std::chrono::milliseconds(15);

    auto operator<=>(const ServicePoolSettings &) const = default;
};

/// The targets of one service and the requests that wait for them. It answers load at which targets
/// are unequally slow from one moment to the next: a request is placed at a free target that can
/// serve it within its objective, waits as long as one may still turn up, and is refused at once
/// when the expected wait is too long. Requests that are late already get what room the others
/// leave, so that one burst does not make all later requests late. Pure and not thread-safe. `now`
/// never goes backwards.
class ServicePool
{
public:
    ServicePool(const ServicePoolSettings &settings, Duration targetLatency, IRandomSource &random);

    /// Replaces the targets; the state of those that stay is kept.
    void setTargets(const std::vector<PoolTarget> &targets);
    /// Sets the pace for cold targets. Only owned ones are used, since requests of others would
    /// come on top of the owner's; \a mayUseCold is false while the ownership is not certain.
    void setColdPolicy(double requestsPerSecond, bool mayUseCold);

    /// Adds a ticket. Precondition: its id is not in the queue.
    void enqueue(const QueuedRequest &request);
    /// Removes a ticket; does nothing if it is not in the queue.
    void cancel(QueuedRequestId requestId);
    /// Places and refuses what can be decided now.
    PoolDecisions decide(TimePoint now);

    /// The following do nothing for a target that is not in the pool any more.
    void updateLoad(const std::string &key, const TargetLoad &load, TimePoint now);
    void updateColdTime(const std::string &key, Duration left, TimePoint now);
    void recordProbe(const std::string &key, bool answered, TimePoint now);
    /// Ends an attempt that decide() placed. \a elapsed is null if the target did no work.
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
        /// Requests of other instances, as far as the last reading showed.
        int otherInFlight = 0;
        double slowdown = 1;
        std::optional<TimePoint> loadReportedAt;
        std::optional<TimePoint> probeSentAt;
        TimePoint coldUntil;
        TimePoint nextColdRequest;
        /// No response was seen yet, so it may be cold.
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
    /// These return true if the ticket left the queue.
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
    /// Time that a request holds a slot, slowed targets included.
    Duration m_slotHoldTime;
    double m_coldRequestsPerSecond = 1;
    bool m_mayUseCold = false;
    std::vector<TargetState> m_targets;
    std::vector<QueuedRequest> m_queue;
    /// Tickets of the current decide() that went on waiting before the one that is decided.
    std::size_t m_requestsAhead = 0;
};

} // namespace lycheebay
