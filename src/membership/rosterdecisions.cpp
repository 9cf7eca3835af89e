#include "membership/rosterdecisions.h"

#include <algorithm>

namespace lycheebay {

namespace {

// An instance that sees most of its region as dead is more likely to be partitioned off itself. The
// delay avoids roster changes during a short partition.
constexpr Duration kMajorityDeadWait = std::chrono::seconds(10);

// After a partition heals, a live member may be reported as dead until its refutation arrives.
constexpr Duration kRefutationWait = std::chrono::seconds(1);

const MemberRecord *findCurrent(const RosterMember &member, const MemberTable &table)
{
    const MemberRecord *record = table.find(member.instanceId);
    const bool current = record && record->update.identity.incarnation == member.incarnation;
    return current ? record : nullptr;
}

bool isLowestLiveInstance(const MemberTable &table)
{
    const std::string &region = table.self().update.identity.region;
    for (const auto &[id, record] : table.records()) {
        if (record.update.identity.region == region && record.isUsable())
            return id == table.selfId();
    }
    return false;
}

} // namespace

IntrusivePtr<const CellPlan> buildCellPlan(const std::vector<RosterMember> &roster,
                                           const MemberTable &table)
{
    std::vector<Member> members;
    for (const RosterMember &member : roster) {
        const MemberRecord *record = findCurrent(member, table);
        if (record && record->isUsable())
            members.push_back({ member, record->isLeaving() });
    }
    return makeRef<const CellPlan>(std::move(members));
}

std::vector<RosterMember> membersToRemove(const std::vector<RosterMember> &roster,
                                          const MemberTable &table, TimePoint now)
{
    if (!isLowestLiveInstance(table))
        return {};
    std::vector<RosterMember> dead;
    std::size_t regionSize = 0;
    TimePoint newestDeath;
    for (const RosterMember &member : roster) {
        if (member.region != table.self().update.identity.region)
            continue;
        ++regionSize;
        const MemberRecord *record = findCurrent(member, table);
        if (!record || record->update.state != MemberState::Dead
            || now - record->stateSince < kRefutationWait)
            continue;
        dead.push_back(member);
        newestDeath = std::max(newestDeath, record->stateSince);
    }
    const bool majority = 2 * dead.size() > regionSize;
    if (majority && now - newestDeath < kMajorityDeadWait)
        return {};
    return dead;
}

bool isAloneInRegion(const std::vector<RosterMember> &roster, const RosterMember &self)
{
    bool listed = false;
    for (const RosterMember &member : roster) {
        if (member.instanceId == self.instanceId)
            listed = true;
        else if (member.region == self.region)
            return false;
    }
    return listed;
}

} // namespace lycheebay
