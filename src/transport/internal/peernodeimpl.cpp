#include "transport/internal/peernodeimpl.h"

#include "membership/rosterdecisions.h"

#include <algorithm>

namespace lycheebay {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
constexpr Duration kHelloTimeout = std::chrono::seconds(2);
// Well above the time after which a peer is suspected, so that a briefly frozen peer keeps its
// links.
constexpr Duration kSilentLinkTimeout = std::chrono::seconds(5);
constexpr Duration kContactPeriod = std::chrono::seconds(3);
constexpr std::size_t kContactsWithoutLinks = 3;
constexpr Duration kRemovalRetryPeriod = std::chrono::seconds(5);

} // namespace

PeerNode::Impl::Impl(PeerNodeSettings settings, const IClock &clock, IPeerLinks &links,
                     IConfigurationFollower &follower, ConfigurationLease &lease,
                     PeerNodeCallbacks callbacks)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_links(links)
    , m_follower(follower)
    , m_lease(lease)
    , m_callbacks(std::move(callbacks))
    , m_table(m_settings.self, m_settings.startedAtMs, m_settings.table, clock.now())
    , m_verdicts(m_settings.self.incarnation)
    , m_plan(makeRef<const CellPlan>(std::vector<Member>()))
    , m_repairCursor(m_settings.self.instanceId)
{}

absl::Status PeerNode::Impl::start(ITimerService &timers)
{
    if (absl::Status status = m_links.start(this); !status.ok())
        return status;
    const std::lock_guard lock(m_mutex);
    m_timers = &timers;
    m_tickTimer = timers.every(kTickPeriod, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->runTimer([&] { self->tick(); });
    });
    return absl::OkStatus();
}

void PeerNode::Impl::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        m_tickTimer.reset();
        m_pushTimer.reset();
    }
    // Waits for a running timer callback, which may still use the follower and the links.
    {
        const std::lock_guard lock(m_timerMutex);
        m_timersStopped = true;
    }
    m_links.stop();
}

void PeerNode::Impl::tick()
{
    const TimePoint now = m_clock.now();
    const std::uint64_t ownOffset = m_follower.nextOffset();
    m_lease.tick(now);
    m_lease.setOwnOffset(ownOffset, now);
    runLocked([&] {
        if (m_stopped)
            return;
        m_ownOffset = ownOffset;
        m_table.tick(now);
        closeSilentLinks(now);
        updateNeighbours(now);
        sendHeartbeats(now);
        exchangeRecords(now);
        requestRemovals(now);
        publishPlan();
        m_suspects.dropExpired(now);
    });
}

void PeerNode::Impl::setConfiguration(const std::vector<RosterMember> &roster,
                                      std::uint64_t nextOffset)
{
    const TimePoint now = m_clock.now();
    m_lease.setAloneInRoster(isAloneInRegion(roster, m_settings.self), now);
    m_lease.setOwnOffset(nextOffset, now);
    runLocked([&] {
        m_ownOffset = std::max(m_ownOffset, nextOffset);
        if (m_roster != roster) {
            m_roster = roster;
            m_table.setRoster(m_roster, now);
        }
        publishPlan();
        // The follower may call this with its lock held, so its records are read later, on a timer.
        if (m_timers && !m_stopped) {
            m_pushTimer = m_timers->after(Duration::zero(), [weak = weak_from_this()] {
                const auto self = weak.lock();
                if (!self)
                    return;
                self->runTimer([&] {
                    self->runLocked([&] { self->exchangeRecords(self->m_clock.now()); });
                });
            });
        }
    });
}

void PeerNode::Impl::setSeeds(std::vector<Address> addresses)
{
    runLocked([&] { m_seeds = std::move(addresses); });
}

void PeerNode::Impl::setPlatformLeaving(const StringSet &instanceIds)
{
    runLocked([&] {
        m_table.setPlatformLeaving(instanceIds);
        publishPlan();
    });
}

void PeerNode::Impl::setLeaving(bool leaving)
{
    runLocked([&] {
        m_table.setLeaving(leaving);
        sendHeartbeats(m_clock.now());
        publishPlan();
    });
}

IntrusivePtr<const CellPlan> PeerNode::Impl::plan() const
{
    const std::lock_guard lock(m_mutex);
    return m_plan;
}

PeerTraffic PeerNode::Impl::traffic() const
{
    const std::lock_guard lock(m_mutex);
    return m_traffic;
}

std::vector<PeerStatus> PeerNode::Impl::peers() const
{
    const TimePoint now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    std::vector<PeerStatus> result;
    for (const auto &[id, record] : m_table.records()) {
        if (id == m_table.selfId())
            continue;
        const RosterMember &identity = record.update.identity;
        PeerStatus status;
        status.instanceId = id;
        status.incarnation = identity.incarnation;
        status.region = identity.region;
        status.failureDomain = identity.failureDomain;
        status.peer = identity.peer;
        status.state = record.unreachable ? MemberState::Suspected : record.update.state;
        status.leaving = record.isLeaving();
        status.inRoster = record.inRoster;
        if (const PeerLinkState *link = findLink(id)) {
            status.linked = true;
            status.lastHeard = now - link->lastFrame;
            status.nextOffset = link->nextOffset;
            status.bytesIn = link->bytesIn;
            status.bytesOut = link->bytesOut;
        }
        result.push_back(std::move(status));
    }
    return result;
}

void PeerNode::Impl::closeSilentLinks(TimePoint now)
{
    for (const auto &[id, state] : m_openLinks) {
        if (!state.identified && now - state.openedAt > kHelloTimeout)
            m_links.close(id, "no hello within the timeout");
        else if (state.identified && now - state.lastFrame > kSilentLinkTimeout)
            m_links.close(id, "silent");
    }
}

void PeerNode::Impl::updateNeighbours(TimePoint now)
{
    if (now - m_contactsChosenAt >= kContactPeriod)
        chooseContacts(now);
    if (m_neighboursTableVersion == m_table.tableVersion() && !m_linksChanged)
        return;
    m_neighboursTableVersion = m_table.tableVersion();
    m_linksChanged = false;
    const Neighbours neighbours = selectNeighbours(m_table.selfId(), neighbourCandidates(m_table));
    StringSet monitored;
    for (const auto *ids : { &neighbours.successors, &neighbours.predecessors, &neighbours.relays })
        monitored.insert(ids->begin(), ids->end());
    m_table.setMonitored(monitored, now);
    std::vector<Address> desired = desiredAddresses(neighbours);
    if (desired == m_desired)
        return;
    m_desired = desired;
    m_links.setDesiredAddresses(std::move(desired));
}

std::vector<Address> PeerNode::Impl::desiredAddresses(const Neighbours &neighbours) const
{
    std::vector<Address> result;
    const auto add = [&](const Address &address) {
        if (std::find(result.begin(), result.end(), address) == result.end())
            result.push_back(address);
    };
    for (const auto *ids : { &neighbours.successors, &neighbours.relays }) {
        for (const std::string &id : *ids) {
            const PeerLinkState *link = findLink(id);
            if (!link || link->outbound)
                add(m_table.find(id)->update.identity.peer);
        }
    }
    for (const Address &contact : m_contacts)
        add(contact);
    std::sort(result.begin(), result.end());
    return result;
}

void PeerNode::Impl::chooseContacts(TimePoint now)
{
    // Unusable members are contacted in turn, because the sides of a healed partition have removed
    // each other from their neighbour rings and would not reconnect otherwise.
    std::vector<Address> candidates = m_seeds;
    for (const auto &[id, record] : m_table.records()) {
        const Address &address = record.update.identity.peer;
        if (record.isUsable() || id == m_table.selfId())
            std::erase(candidates, address);
        else if (std::find(candidates.begin(), candidates.end(), address) == candidates.end())
            candidates.push_back(address);
    }
    const bool linked = std::any_of(m_openLinks.begin(), m_openLinks.end(),
                                    [](const auto &entry) { return entry.second.identified; });
    const std::size_t wanted = linked ? 1 : kContactsWithoutLinks;
    std::vector<Address> contacts;
    for (std::size_t i = 0; i < std::min(wanted, candidates.size()); ++i)
        contacts.push_back(candidates[m_contactCursor++ % candidates.size()]);
    m_contactsChosenAt = now;
    m_linksChanged = m_linksChanged || contacts != m_contacts;
    m_contacts = std::move(contacts);
}

void PeerNode::Impl::requestRemovals(TimePoint now)
{
    for (const RosterMember &member : membersToRemove(m_roster, m_table, now)) {
        const auto it = m_removalRequestedAt.find(member.instanceId);
        if (it != m_removalRequestedAt.end() && now - it->second < kRemovalRetryPeriod)
            continue;
        m_removalRequestedAt[member.instanceId] = now;
        if (m_callbacks.removeMember)
            m_deferredActions.emplace_back([this, member] { m_callbacks.removeMember(member); });
    }
    std::erase_if(m_removalRequestedAt,
                  [&](const auto &entry) { return now - entry.second > 2 * kRemovalRetryPeriod; });
}

void PeerNode::Impl::publishPlan()
{
    if (m_planTableVersion == m_table.tableVersion())
        return;
    m_planTableVersion = m_table.tableVersion();
    const IntrusivePtr<const CellPlan> plan = buildCellPlan(m_roster, m_table);
    if (*plan == *m_plan)
        return;
    m_plan = plan;
    if (m_callbacks.planChanged)
        m_deferredActions.emplace_back([this, plan] { m_callbacks.planChanged(plan); });
}

const PeerLinkState *PeerNode::Impl::findLink(const std::string &instanceId) const
{
    const auto it = std::find_if(m_openLinks.begin(), m_openLinks.end(), [&](const auto &entry) {
        return entry.second.identified && entry.second.peer.instanceId == instanceId;
    });
    return it == m_openLinks.end() ? nullptr : &it->second;
}

bool PeerNode::Impl::sharesRegion(const PeerLinkState &state) const
{
    return state.identified && state.peer.region == m_settings.self.region;
}

} // namespace lycheebay
