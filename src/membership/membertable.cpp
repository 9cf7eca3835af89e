#include "membership/membertable.h"

#include <algorithm>

namespace lycheebay {

namespace {

constexpr std::size_t kMaxReplacedIncarnations = 8;

bool contains(const std::vector<std::uint64_t> &numbers, std::uint64_t number)
{
    return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

} // namespace

MemberTable::MemberTable(RosterMember self, std::int64_t startedAtMs, MemberTableSettings settings,
                         TimePoint now)
    : m_settings(settings)
    , m_selfId(self.instanceId)
    , m_selfRegion(self.region)
    , m_lastTick(now)
{
    MemberUpdate update;
    update.identity = std::move(self);
    update.startedAtMs = startedAtMs;
    insert(update, now);
}

const MemberRecord *MemberTable::find(const std::string &instanceId) const
{
    const auto it = m_records.find(instanceId);
    return it == m_records.end() ? nullptr : &it->second;
}

void MemberTable::setRoster(const std::vector<RosterMember> &roster, TimePoint now)
{
    for (auto &[id, record] : m_records)
        record.inRoster = false;
    for (const RosterMember &member : roster) {
        MemberUpdate update;
        update.identity = member;
        auto it = m_records.find(member.instanceId);
        MemberRecord *record = it == m_records.end() ? insert(update, now) : &it->second;
        if (!record)
            continue;
        RosterMember &known = record->update.identity;
        if (known.incarnation != member.incarnation) {
            // Join offsets in the log order the incarnations. One that has not joined yet may be
            // newer than the one in the roster.
            const bool joinedLater = known.joinedAt != 0 && known.joinedAt < member.joinedAt;
            const bool seenReplaced = contains(record->replacedIncarnations, member.incarnation);
            if (!joinedLater || seenReplaced || member.instanceId == m_selfId)
                continue;
            replace(*record, update, now);
        }
        known.joinedAt = member.joinedAt;
        record->inRoster = true;
    }
    ++m_tableVersion;
}

void MemberTable::setPlatformLeaving(const StringSet &instanceIds)
{
    for (auto &[id, record] : m_records) {
        const bool leaving = instanceIds.contains(id);
        if (leaving == record.platformLeaving)
            continue;
        record.platformLeaving = leaving;
        ++m_tableVersion;
    }
}

void MemberTable::setMonitored(const StringSet &instanceIds, TimePoint now)
{
    for (auto &[id, record] : m_records) {
        const bool monitored = id != m_selfId && instanceIds.contains(id);
        if (monitored && !record.monitored)
            record.monitoredSince = now;
        record.monitored = monitored;
    }
}

void MemberTable::setLeaving(bool leaving)
{
    MemberRecord &record = m_records.at(m_selfId);
    if (record.update.leaving == leaving)
        return;
    record.update.leaving = leaving;
    markChanged(record);
}

std::uint64_t MemberTable::beginHeartbeat()
{
    return ++m_records.at(m_selfId).update.heartbeat;
}

bool MemberTable::mergeDirect(const MemberUpdate &update, TimePoint now)
{
    if (update.identity.instanceId == m_selfId)
        return update.identity.incarnation == self().update.identity.incarnation;
    MemberRecord *record = findOrCreateRecord(update, now);
    if (!record)
        return !isReplaced(update);
    // A relayed update may arrive before the heartbeat that the member sends over its own link, so
    // lastHeard depends on directHeartbeat rather than on the newest known heartbeat.
    if (update.heartbeat > record->directHeartbeat) {
        record->directHeartbeat = update.heartbeat;
        record->lastHeard = now;
    }
    const bool newer = update.heartbeat > record->update.heartbeat;
    if (!newer && record->update.heartbeat != 0)
        return true;
    record->update.heartbeat = update.heartbeat;
    if (record->unreachable)
        resetRegionReachability(record->update.identity.region, now);
    setUnreachable(*record, false, now);
    if (record->update.state != MemberState::Alive)
        setState(*record, MemberState::Alive, now);
    if (update.leaving != record->update.leaving) {
        record->update.leaving = update.leaving;
        markChanged(*record);
    }
    return true;
}

void MemberTable::mergeRelayed(const MemberUpdate &update, TimePoint now)
{
    if (update.identity.instanceId == m_selfId) {
        refuteSuspicion(update);
        return;
    }
    const bool known = m_records.contains(update.identity.instanceId);
    if (!known && update.state == MemberState::Dead)
        return;
    MemberRecord *record = findOrCreateRecord(update, now);
    if (record)
        mergeState(*record, update, now);
}

void MemberTable::refuteSuspicion(const MemberUpdate &update)
{
    MemberRecord &record = m_records.at(m_selfId);
    if (update.identity.incarnation != record.update.identity.incarnation
        || update.state == MemberState::Alive)
        return;
    // An update with a higher heartbeat number overrides the suspicion on every instance.
    record.update.heartbeat = std::max(record.update.heartbeat, update.heartbeat) + 1;
    markChanged(record);
}

void MemberTable::mergeState(MemberRecord &record, const MemberUpdate &update, TimePoint now)
{
    MemberUpdate &known = record.update;
    const bool degrades = update.state > known.state && update.heartbeat >= known.heartbeat;
    const bool recovers = update.state < known.state && update.heartbeat > known.heartbeat;
    const bool outdated = update.state > known.state && !degrades;
    if (update.leaving && !known.leaving && update.heartbeat >= known.heartbeat) {
        known.leaving = true;
        markChanged(record);
    }
    if (degrades || recovers) {
        known.heartbeat = update.heartbeat;
        setState(record, update.state, now);
    } else if (outdated) {
        // The sender has not seen the newer heartbeat that this instance knows: propagate it again.
        markChanged(record);
    }
    if (update.state != known.state || update.heartbeat <= known.heartbeat)
        return;
    known.heartbeat = update.heartbeat;
    if (update.state == MemberState::Alive)
        setUnreachable(record, false, now);
}

void MemberTable::setUnreachable(MemberRecord &record, bool unreachable, TimePoint now)
{
    if (record.unreachable == unreachable)
        return;
    record.unreachable = unreachable;
    record.unreachableSince = now;
    ++m_tableVersion;
}

void MemberTable::resetRegionReachability(const std::string &region, TimePoint now)
{
    const auto isUsableThere = [&](const auto &entry) {
        return entry.second.update.identity.region == region && entry.second.isUsable();
    };
    if (std::any_of(m_records.begin(), m_records.end(), isUsableThere))
        return;
    // No member of the region was usable, so the region was partitioned off and is back. Failure
    // detection starts over for all of its members.
    for (auto &[id, record] : m_records) {
        if (record.update.identity.region != region || !record.unreachable)
            continue;
        record.monitoredSince = now;
        setUnreachable(record, false, now);
    }
}

MemberTable::Order MemberTable::compareIncarnation(const MemberRecord &known,
                                                   const MemberUpdate &update)
{
    const MemberUpdate &mine = known.update;
    if (mine.identity.incarnation == update.identity.incarnation)
        return Order::Same;
    if (contains(known.replacedIncarnations, update.identity.incarnation))
        return Order::Older;
    // Without both start times only the log can order the two; a new incarnation will join there.
    if (mine.startedAtMs == 0 || update.startedAtMs == 0)
        return Order::Undecided;
    if (mine.startedAtMs != update.startedAtMs)
        return mine.startedAtMs < update.startedAtMs ? Order::Newer : Order::Older;
    return mine.identity.incarnation < update.identity.incarnation ? Order::Newer : Order::Older;
}

MemberRecord *MemberTable::findOrCreateRecord(const MemberUpdate &update, TimePoint now)
{
    const auto it = m_records.find(update.identity.instanceId);
    if (it == m_records.end())
        return insert(update, now);
    MemberRecord &record = it->second;
    switch (compareIncarnation(record, update)) {
    case Order::Same:
        if (record.update.startedAtMs == 0)
            record.update.startedAtMs = update.startedAtMs;
        return &record;
    case Order::Newer:
        replace(record, update, now);
        return &record;
    case Order::Undecided:
        // An incarnation that is known from the roster only, and is suspected or dead, is replaced
        // by one that sends heartbeats.
        if (record.update.state == MemberState::Alive || update.startedAtMs == 0)
            return nullptr;
        replace(record, update, now);
        // The incarnation in the roster may still be the newer one, so it is not recorded as
        // replaced.
        record.replacedIncarnations.pop_back();
        return &record;
    case Order::Older:
        return nullptr;
    }
    return nullptr;
}

bool MemberTable::isReplaced(const MemberUpdate &update) const
{
    const auto it = m_records.find(update.identity.instanceId);
    return it != m_records.end() && compareIncarnation(it->second, update) == Order::Older;
}

MemberRecord *MemberTable::insert(const MemberUpdate &update, TimePoint now)
{
    if (m_records.size() >= m_settings.maxMembers && !evictDeadMember())
        return nullptr;
    MemberRecord &record = m_records[update.identity.instanceId];
    record.update = update;
    record.lastHeard = now;
    record.stateSince = now;
    markChanged(record);
    return &record;
}

void MemberTable::replace(MemberRecord &record, const MemberUpdate &update, TimePoint now)
{
    std::vector<std::uint64_t> &replaced = record.replacedIncarnations;
    replaced.push_back(record.update.identity.incarnation);
    if (replaced.size() > kMaxReplacedIncarnations)
        replaced.erase(replaced.begin());
    record.update = update;
    record.directHeartbeat = 0;
    record.lastHeard = now;
    record.stateSince = now;
    record.monitoredSince = now;
    record.inRoster = false;
    record.unreachable = false;
    markChanged(record);
}

void MemberTable::setState(MemberRecord &record, MemberState state, TimePoint now)
{
    record.update.state = state;
    record.stateSince = now;
    markChanged(record);
}

void MemberTable::markChanged(MemberRecord &record)
{
    record.changeSequence = ++m_changeSequence;
    ++m_tableVersion;
}

bool MemberTable::evictDeadMember()
{
    const auto it = std::find_if(m_records.begin(), m_records.end(), [](const auto &entry) {
        return entry.second.update.state == MemberState::Dead && !entry.second.inRoster;
    });
    if (it == m_records.end())
        return false;
    m_records.erase(it);
    return true;
}

void MemberTable::tick(TimePoint now)
{
    if (now - m_lastTick > m_settings.pauseThreshold)
        restartTimers(now);
    m_lastTick = now;
    for (auto &[id, record] : m_records)
        detectFailure(record, now);
    removeExpiredDead(now);
}

void MemberTable::restartTimers(TimePoint now)
{
    // This process could not receive heartbeats while it was paused, so missing ones are no
    // evidence of a failure.
    for (auto &[id, record] : m_records) {
        record.monitoredSince = now;
        record.stateSince = now;
    }
}

void MemberTable::detectFailure(MemberRecord &record, TimePoint now)
{
    if (record.update.state == MemberState::Suspected
        && now - record.stateSince >= m_settings.deadAfter) {
        setState(record, MemberState::Dead, now);
        return;
    }
    if (record.unreachable && now - record.unreachableSince >= m_settings.retryUnreachableAfter) {
        record.monitoredSince = now;
        setUnreachable(record, false, now);
    }
    const TimePoint silentSince = std::max(record.lastHeard, record.monitoredSince);
    const bool silent = record.monitored && now - silentSince >= m_settings.suspectAfter;
    if (!silent || record.update.state != MemberState::Alive)
        return;
    if (record.update.identity.region == m_selfRegion)
        setState(record, MemberState::Suspected, now);
    else
        setUnreachable(record, true, now);
}

void MemberTable::removeExpiredDead(TimePoint now)
{
    const auto expired = [&](const auto &entry) {
        const MemberRecord &record = entry.second;
        return record.update.state == MemberState::Dead && !record.inRoster
               && now - record.stateSince >= m_settings.removeDeadAfter;
    };
    if (std::erase_if(m_records, expired) > 0)
        ++m_tableVersion;
}

} // namespace lycheebay
