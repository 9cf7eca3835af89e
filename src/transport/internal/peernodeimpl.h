#pragma once

#include "membership/neighbours.h"
#include "transport/internal/configurationrelay.h"
#include "transport/internal/crashsuspecttable.h"
#include "transport/internal/peercodec.h"
#include "transport/internal/peerlinkstate.h"
#include "transport/internal/verdicttable.h"
#include "transport/peernode.h"

#include <map>
#include <memory>
#include <mutex>

namespace lycheebay {

/// One mutex guards the state. The callbacks and the follower, which publishes configurations, may
/// call back into the node, so they are called after the mutex is released.
class PeerNode::Impl final : public IPeerLinkListener, public std::enable_shared_from_this<Impl>
{
public:
    Impl(PeerNodeSettings settings, const IClock &clock, IPeerLinks &links,
         IConfigurationFollower &follower, ConfigurationLease &lease, PeerNodeCallbacks callbacks);

    absl::Status start(ITimerService &timers);
    void stop();
    void tick();
    void setConfiguration(const std::vector<RosterMember> &roster, std::uint64_t nextOffset);
    void setSeeds(std::vector<Address> addresses);
    void setPlatformLeaving(const StringSet &instanceIds);
    void setLeaving(bool leaving);
    void shareVerdicts(const std::vector<TargetVerdict> &verdicts);
    void shareCrashSuspects(const std::vector<SharedCrashSuspect> &suspects);
    IntrusivePtr<const CellPlan> plan() const;
    PeerTraffic traffic() const;
    std::vector<PeerStatus> peers() const;

    void linkOpened(LinkId link, bool outbound, const Address &remote) override;
    absl::Status frameReceived(LinkId link, std::string_view frame) override;
    void linkClosed(LinkId link) override;

private:
    using Links = std::map<LinkId, PeerLinkState>;
    using Actions = std::vector<std::function<void()>>;

    /// Runs \a step with the mutex held, then the deferred actions without it.
    template <typename Step>
    void runLocked(Step step)
    {
        Actions actions;
        {
            const std::lock_guard lock(m_mutex);
            step();
            actions.swap(m_deferredActions);
        }
        for (const auto &action : actions)
            action();
    }

    /// Runs the work of a timer callback unless the node is stopped. stop() waits for it.
    template <typename Work>
    void runTimer(Work work)
    {
        const std::lock_guard lock(m_timerMutex);
        if (!m_timersStopped)
            work();
    }

    // Received frames; in peernodeframes.cpp.
    absl::Status handle(LinkId link, wire::FrameT &frame);
    absl::Status handleHello(LinkId link, const wire::HelloT &hello);
    absl::Status handleHeartbeat(LinkId link, const wire::HeartbeatT &heartbeat);
    void renewLease(const PeerLinkState &state, const wire::HeartbeatT &heartbeat, TimePoint now);
    void handleRecords(LinkId link, const wire::RecordBatchT &records);
    absl::Status handleBatchPart(LinkId link, const wire::BatchPartT &part);
    absl::Status handleVerdicts(LinkId link, const wire::VerdictBatchT &batch);
    void handleSuspects(LinkId link, const wire::CrashSuspectBatchT &batch);
    /// Ensures that one link to the peer of \a link remains: closes the others or returns false if
    /// \a link itself is to be closed.
    bool resolveDuplicateLinks(LinkId link, const PeerLinkState &state);
    /// Brings a newly identified peer up to date.
    void sendInitialState(LinkId link, PeerLinkState &state);

    // Sending; in peernodesending.cpp.
    void sendFrame(LinkId link, PeerLinkState &state, PeerMessageKind kind, std::string frame);
    void sendHeartbeat(LinkId link, PeerLinkState &state, TimePoint now);
    void sendHeartbeats(TimePoint now);
    /// Returns how many members the next heartbeat adds to repair a difference of the tables.
    std::size_t repairPageSize(const PeerLinkState &state) const;
    void sendVerdicts(const std::vector<StampedVerdict> &verdicts, LinkId except);
    void sendVerdictsTo(LinkId link, PeerLinkState &state,
                        const std::vector<StampedVerdict> &verdicts);
    void sendSuspects(const std::vector<SharedCrashSuspect> &suspects, LinkId except);
    void sendSuspectsTo(LinkId link, PeerLinkState &state,
                        const std::vector<SharedCrashSuspect> &suspects);
    void sendBatch(LinkId link, const LogBatch &batch);
    void exchangeRecords(TimePoint now);
    void pushRecords(const std::vector<ConfigurationRelay::Push> &pushes);
    void answerRequest(LinkId link, std::uint64_t from);
    void offerToFollower(LinkId link, const LogBatch &batch);
    void countFrame(PeerLinkState &state, PeerMessageKind kind, std::size_t size, bool out);

    // Periodic work; in peernodeimpl.cpp.
    void closeSilentLinks(TimePoint now);
    void updateNeighbours(TimePoint now);
    void chooseContacts(TimePoint now);
    std::vector<Address> desiredAddresses(const Neighbours &neighbours) const;
    void requestRemovals(TimePoint now);
    void publishPlan();
    const PeerLinkState *findLink(const std::string &instanceId) const;
    bool sharesRegion(const PeerLinkState &state) const;

    const PeerNodeSettings m_settings;
    const IClock &m_clock;
    IPeerLinks &m_links;
    IConfigurationFollower &m_follower;
    ConfigurationLease &m_lease;
    const PeerNodeCallbacks m_callbacks;

    std::mutex m_timerMutex;
    bool m_timersStopped = false;

    mutable std::mutex m_mutex;
    ITimerService *m_timers = nullptr;
    TimerSubscription m_tickTimer;
    TimerSubscription m_pushTimer;
    /// Run once the mutex is released.
    Actions m_deferredActions;
    MemberTable m_table;
    Links m_openLinks;
    ConfigurationRelay m_relay;
    VerdictTable m_verdicts;
    CrashSuspectTable m_suspects;
    PeerTraffic m_traffic;
    std::vector<RosterMember> m_roster;
    IntrusivePtr<const CellPlan> m_plan;
    std::vector<Address> m_seeds;
    /// Seeds and unusable members to which links are currently attempted.
    std::vector<Address> m_contacts;
    std::vector<Address> m_desired;
    TimePoint m_contactsChosenAt;
    std::size_t m_contactCursor = 0;
    std::uint64_t m_ownOffset = 0;
    std::uint64_t m_nextTransfer = 1;
    int m_verdictRequests = 0;
    /// The instance id after which the next repair page starts. Shared by all links, so that each
    /// of them carries a different page.
    std::string m_repairCursor;
    std::map<std::string, TimePoint> m_removalRequestedAt;
    /// Member table versions from which the plan and the neighbours were computed.
    std::uint64_t m_planTableVersion = ~std::uint64_t{ 0 };
    std::uint64_t m_neighboursTableVersion = ~std::uint64_t{ 0 };
    bool m_linksChanged = true;
    bool m_stopped = false;
};

} // namespace lycheebay
