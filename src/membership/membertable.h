#pragma once

#include "base/iclock.h"
#include "base/stringmap.h"
#include "configuration/configurationtypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lycheebay {

enum class MemberState {
    Alive,
    Suspected, ///< a neighbour missed its heartbeats: it is assigned no cells
    Dead       ///< suspected for too long: it is removed from the roster
};

/// The state of one member as instances exchange it.
struct MemberUpdate
{
    RosterMember identity;
    /// Wall-clock start time of the incarnation, which orders the incarnations of one instance id.
    /// 0 when the incarnation is known from the roster only.
    std::int64_t startedAtMs = 0;
    /// Number of the newest heartbeat that `state` takes into account.
    std::uint64_t heartbeat = 0;
    MemberState state = MemberState::Alive;
    bool leaving = false;

    auto operator<=>(const MemberUpdate &) const = default;
};

/// A member and the information about it that is local to this instance.
struct MemberRecord
{
    MemberUpdate update;
    /// Number of the newest heartbeat received over the member's own link.
    std::uint64_t directHeartbeat = 0;
    /// Time at which that heartbeat was received; before the first one, when the incarnation was
    /// added.
    TimePoint lastHeard;
    TimePoint stateSince;
    /// Whether this instance runs failure detection for the member, which is a neighbour.
    bool monitored = false;
    TimePoint monitoredSince;
    /// Whether the platform lists the member as leaving.
    bool platformLeaving = false;
    bool inRoster = false;
    /// Whether the member, of another region, sends no heartbeats to this instance. Not propagated:
    /// a partition between regions must not remove a whole region from the roster.
    bool unreachable = false;
    TimePoint unreachableSince;
    /// Value of MemberTable::changeSequence() at the last change that has to be propagated.
    std::uint64_t changeSequence = 0;
    /// Earlier incarnations of the instance id, newest last. Their heartbeats are ignored.
    std::vector<std::uint64_t> replacedIncarnations;

    bool isUsable() const { return update.state == MemberState::Alive && !unreachable; }
    bool isLeaving() const { return update.leaving || platformLeaving; }
};

struct MemberTableSettings
{
    /// A monitored member is suspected, or in another region unreachable, after this time without a
    /// heartbeat.
    Duration suspectAfter = std::chrono::milliseconds(1500);
    /// A suspected member is declared dead after this time.
    Duration deadAfter = std::chrono::seconds(3);
    /// A dead member that is not in the roster is removed from the table after this time.
    Duration removeDeadAfter = std::chrono::seconds(60);
    /// An unreachable member of another region is treated as reachable again after this time, so
    /// that links to it are retried.
    Duration retryUnreachableAfter = std::chrono::seconds(30);
    /// A longer gap between two calls of tick() means that this process was paused.
    Duration pauseThreshold = std::chrono::seconds(1);
    std::size_t maxMembers = 4096;
};

/// Failure detector and membership view: the state of every entry instance as this instance knows
/// it. Not thread-safe.
class MemberTable
{
public:
    using Records = std::map<std::string, MemberRecord>;

    MemberTable(RosterMember self, std::int64_t startedAtMs, MemberTableSettings settings,
                TimePoint now);

    const std::string &selfId() const { return m_selfId; }
    const MemberRecord &self() const { return m_records.at(m_selfId); }
    const Records &records() const { return m_records; }
    /// Returns null for an unknown id.
    const MemberRecord *find(const std::string &instanceId) const;

    /// Applies the roster of the configuration. Its members are added even when no heartbeat of
    /// them has arrived yet.
    void setRoster(const std::vector<RosterMember> &roster, TimePoint now);
    /// Sets the instances that the platform lists as leaving.
    void setPlatformLeaving(const StringSet &instanceIds);
    /// Sets the neighbours to monitor. The silence of a newly monitored one is measured from \a now
    /// or from its last heartbeat, whichever is later.
    void setMonitored(const StringSet &instanceIds, TimePoint now);
    /// Announces whether this instance is about to leave.
    void setLeaving(bool leaving);

    /// Starts a new heartbeat of this instance and returns its number.
    std::uint64_t beginHeartbeat();
    /// Merges an update that the member itself sent over its link, in a hello or a heartbeat.
    /// Returns false when the update is of a replaced incarnation.
    bool mergeDirect(const MemberUpdate &update, TimePoint now);
    /// Merges an update about a member that another instance relayed.
    void mergeRelayed(const MemberUpdate &update, TimePoint now);
    /// Applies the timeouts: suspects, declares dead and removes members. Call periodically.
    void tick(TimePoint now);

    /// Sequence number of the last change that has to be propagated to other instances.
    std::uint64_t changeSequence() const { return m_changeSequence; }
    /// Increases with every change of this table, including changes that are not propagated.
    std::uint64_t tableVersion() const { return m_tableVersion; }
    /// Returns up to \a maxCount changes after \a cursor, oldest first, and advances the cursor.
    std::vector<MemberUpdate> changesAfter(std::uint64_t &cursor, std::size_t maxCount) const;
    /// Returns up to \a maxCount members that are not dead, in id order after \a cursor, and
    /// advances the cursor. At the end the cursor wraps around to the start.
    std::vector<MemberUpdate> membersAfter(std::string &cursor, std::size_t maxCount) const;
    /// Returns a digest of the members that are not dead. It is equal on two instances that agree
    /// about the incarnation, state and leaving flag of each of them.
    std::uint64_t stateHash() const;

private:
    enum class Order { Same, Newer, Older, Undecided };

    static Order compareIncarnation(const MemberRecord &known, const MemberUpdate &update);
    MemberRecord *insert(const MemberUpdate &update, TimePoint now);
    MemberRecord *findOrCreateRecord(const MemberUpdate &update, TimePoint now);
    bool isReplaced(const MemberUpdate &update) const;
    void replace(MemberRecord &record, const MemberUpdate &update, TimePoint now);
    void setState(MemberRecord &record, MemberState state, TimePoint now);
    void refuteSuspicion(const MemberUpdate &update);
    void mergeState(MemberRecord &record, const MemberUpdate &update, TimePoint now);
    void setUnreachable(MemberRecord &record, bool unreachable, TimePoint now);
    void resetRegionReachability(const std::string &region, TimePoint now);
    void detectFailure(MemberRecord &record, TimePoint now);
    void restartTimers(TimePoint now);
    void removeExpiredDead(TimePoint now);
    bool evictDeadMember();
    void markChanged(MemberRecord &record);

    MemberTableSettings m_settings;
    std::string m_selfId;
    std::string m_selfRegion;
    Records m_records;
    TimePoint m_lastTick;
    std::uint64_t m_changeSequence = 0;
    std::uint64_t m_tableVersion = 0;
    mutable std::uint64_t m_hashedVersion = ~std::uint64_t{ 0 };
    mutable std::uint64_t m_hash = 0;
};

} // namespace lycheebay
