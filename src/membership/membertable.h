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
    Suspected, ///< a neighbour did not hear it for a while: it gets no cell
    Dead       ///< silent for longer: it is removed from the roster
};

/// What instances tell each other about one member.
struct MemberUpdate
{
    RosterMember identity;
    /// Wall-clock start of the incarnation; orders the incarnations of one instance id. 0 when it
    /// is known from the roster only.
    std::int64_t startedAtMs = 0;
    /// Number of the newest heartbeat on which `state` rests.
    std::uint64_t heartbeat = 0;
    MemberState state = MemberState::Alive;
    bool leaving = false;

    auto operator<=>(const MemberUpdate &) const = default;
};

/// A member with what only this instance knows of it.
struct MemberRecord
{
    MemberUpdate update;
    /// Newest heartbeat that came over the member's own link.
    std::uint64_t directHeartbeat = 0;
    TimePoint lastHeard;
    TimePoint stateSince;
    /// A neighbour whose silence this instance judges.
    bool monitored = false;
    TimePoint monitoredSince;
    /// The platform's list shows it as leaving.
    bool platformLeaving = false;
    bool inRoster = false;
    /// A member of another region that does not answer here. It is not told to others: a partition
    /// between regions must not remove a whole region from the roster.
    bool unreachable = false;
    TimePoint unreachableSince;
    std::uint64_t changeSequence = 0;
    /// Newest last; their heartbeats are ignored.
    std::vector<std::uint64_t> replacedIncarnations;

    bool isUsable() const { return update.state == MemberState::Alive && !unreachable; }
    bool isLeaving() const { return update.leaving || platformLeaving; }
};

struct MemberTableSettings
{
    Duration suspectAfter = std::chrono::milliseconds(1500);
    Duration deadAfter = std::chrono::seconds(3);
    Duration forgetAfter = std::chrono::seconds(60);
    /// An unreachable member of another region gets another chance after this time.
    Duration retryUnreachableAfter = std::chrono::seconds(30);
    /// Two calls of tick() that are further apart than this show a pause of the own process.
    Duration pauseGap = std::chrono::seconds(1);
    std::size_t maxMembers = 4096;
};

/// What this instance knows of every entry instance. Not thread-safe.
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

    /// Takes over the roster of the configuration: its members are known even when not yet heard.
    void setRoster(const std::vector<RosterMember> &roster, TimePoint now);
    /// Ids that the platform's list shows as leaving.
    void setPlatformLeaving(const StringSet &instanceIds);
    /// Names the neighbours; their silence is measured from now or from when they were heard.
    void setMonitored(const StringSet &instanceIds, TimePoint now);
    void setLeaving(bool leaving);

    /// Begins the next heartbeat of this instance and returns its number.
    std::uint64_t beginHeartbeat();
    /// A member was heard over its own link. Returns false for a replaced incarnation.
    bool mergeDirect(const MemberUpdate &update, TimePoint now);
    /// Another instance told about a member.
    void mergeRelayed(const MemberUpdate &update, TimePoint now);
    /// Applies the time limits.
    void tick(TimePoint now);

    /// Grows with every change that others have to learn.
    std::uint64_t changeSequence() const { return m_changeSequence; }
    /// Grows with every change of this table, those of no interest to others included.
    std::uint64_t tableVersion() const { return m_localSequence; }
    /// Returns up to \a maxCount changes after \a cursor, oldest first, and moves the cursor.
    std::vector<MemberUpdate> changesAfter(std::uint64_t &cursor, std::size_t maxCount) const;
    /// Returns up to \a maxCount members that are not dead, after \a cursor in id order, and moves
    /// the cursor, which restarts at the end.
    std::vector<MemberUpdate> membersAfter(std::string &cursor, std::size_t maxCount) const;
    /// Equal on two instances that agree about every member that is not dead.
    std::uint64_t stateHash() const;

private:
    enum class Order { Same, Newer, Older, Undecided };

    static Order compareIncarnation(const MemberRecord &known, const MemberUpdate &update);
    MemberRecord *insert(const MemberUpdate &update, TimePoint now);
    MemberRecord *resolve(const MemberUpdate &update, TimePoint now);
    bool isReplaced(const MemberUpdate &update) const;
    void replace(MemberRecord &record, const MemberUpdate &update, TimePoint now);
    void setState(MemberRecord &record, MemberState state, TimePoint now);
    void mergeSelf(const MemberUpdate &update);
    void mergeState(MemberRecord &record, const MemberUpdate &update, TimePoint now);
    void setUnreachable(MemberRecord &record, bool unreachable, TimePoint now);
    void regionHeard(const std::string &region, TimePoint now);
    void judgeSilence(MemberRecord &record, TimePoint now);
    void forgivePause(TimePoint now);
    void forgetDead(TimePoint now);
    bool makeRoom();
    void changed(MemberRecord &record);

    MemberTableSettings m_settings;
    std::string m_selfId;
    std::string m_selfRegion;
    Records m_records;
    TimePoint m_lastTick;
    std::uint64_t m_changeSequence = 0;
    std::uint64_t m_localSequence = 0;
    mutable std::uint64_t m_hashedSequence = ~std::uint64_t{ 0 };
    mutable std::uint64_t m_hash = 0;
};

} // namespace lycheebay
