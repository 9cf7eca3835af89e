#pragma once

#include "base/irandomsource.h"
#include "base/itimerservice.h"
#include "gateway/dispatchplan.h"
#include "gateway/gateway.h"
#include "gateway/gatewayblackboard.h"
#include "gateway/relay/estateupdate.h"
#include "gateway/relay/iestatesource.h"
#include "transport/ipeerlinks.h"

#include <log4cplus/logger.h>

#include <map>
#include <optional>

namespace lycheebay {

/// Keeps the view of the estate recent at a low price: one instance a region, chosen by rendezvous
/// hashing, reads the platform and passes the news on; the others read by themselves only when its
/// news are late. A follower that loses its reader follows the next one in rank, and an instance
/// reads as long as others follow it, so that a reader that dies is replaced before the list of
/// instances shows it. Whether this instance reads is decided here; how it reads is the source's
/// matter.
/// Not thread-safe: use it, and call its link callbacks, on the event loop.
class EstateCoordinator final : public IEstateSourceListener,
                                public IPeerLinkListener,
                                public ITargetListRefresher
{
public:
    struct Settings
    {
        std::string instanceId;
        std::string region;
        DomainRegions regions;
        /// Port on which every instance takes links.
        std::uint16_t relayPort = 0;
        /// Time within which a change must be in force at every instance.
        Duration changeBound = std::chrono::seconds(2);
        /// All instances start now, and no caller is served before they know each other.
        bool wholeSystemStarts = false;
    };

    /// Precondition: all references outlive the coordinator.
    EstateCoordinator(ITimerService &timers, const IClock &clock, IRandomSource &random,
                      GatewayBlackboard &blackboard, IEstateSource &source, IPeerLinks &links,
                      Settings settings);

    /// Starts to read. Errors: Unavailable when the links cannot be started.
    absl::Status start();
    /// Takes this instance out of the list of instances; if it is the reader, its followers hear of
    /// it at once and find the next one.
    void leave();

    void targetsRead(const IntrusivePtr<const TargetList> &targets, TimePoint startedAt,
                     bool settled) override;
    void operatorRecordsRead() override;
    void instancesChanged() override;
    void instancesRead(const IntrusivePtr<const InstanceList> &instances) override;

    void linkOpened(LinkId link, bool outbound, const Address &remote) override;
    absl::Status frameReceived(LinkId link, std::string_view frame) override;
    void linkClosed(LinkId link) override;

    void whenRecent(std::function<void()> done) override;
    void noteUse() override;

private:
    /// Unknown until the instances were read for the first time.
    enum class Role { Unknown, Reader, Follower };

    /// What another instance was told last on its link.
    struct Told
    {
        std::uint64_t operatorRecordsPosition = 0;
        std::vector<TargetRecord> targets;
        std::vector<GatewayInstance> instances;
    };

    void chooseReader();
    /// Returns the instance that should read for this region, or null if none is known.
    std::optional<GatewayInstance> bestReader() const;
    void follow(const GatewayInstance &reader);
    /// Follows the next reader in rank for some time.
    void suspectReader(const char *reason);
    void suspectSilentReader();
    /// True if this instance reads the platform for others.
    bool readsForOthers() const { return m_role == Role::Reader || !m_followers.empty(); }
    bool reliesOnReader() const;
    void schedule();
    Duration readDelay() const;
    /// A reader reads more often, so that its news are in time also after one lost read.
    Duration readPeriod() const { return m_settings.changeBound / (readsForOthers() ? 3 : 2); }
    Duration lateNews() const { return m_settings.changeBound * 3 / 4; }
    bool isRecent(Duration age) const;
    /// Chooses how the operator's records are read, now and when the reader's news would be late.
    void chooseOperatorWait();
    TimePoint newsLateAt() const;
    bool hasRecentOperatorRecords() const;
    void publish(const IntrusivePtr<const TargetList> &targets);
    void publish(const IntrusivePtr<const InstanceList> &instances);
    /// Publishes what the reader told; the list of targets was read up to \a targetsPosition.
    void publishRelayed(std::uint64_t targetsPosition);
    void sendNews();
    void sendNewsTo(LinkId link);
    void releaseWaiting();

    ITimerService &m_timers;
    const IClock &m_clock;
    IRandomSource &m_random;
    GatewayBlackboard &m_blackboard;
    IEstateSource &m_source;
    IPeerLinks &m_links;
    const Settings m_settings;
    const log4cplus::Logger m_logger;
    Role m_role = Role::Unknown;
    std::string m_reader;
    TimePoint m_readerSince;
    /// Instances that are not followed until then.
    std::map<std::string, TimePoint> m_suspects;
    std::map<LinkId, Told> m_followers;
    RecordCompressor m_packer;
    std::optional<LinkId> m_readerLink;
    /// What the reader told on its link.
    Told m_relayed;
    TimePoint m_startedAt;
    std::optional<TimePoint> m_asOf;
    /// As of when the last news were.
    std::optional<TimePoint> m_newsAsOf;
    std::optional<TimePoint> m_lastReadAt;
    std::optional<TimePoint> m_lastUseAt;
    int m_failures = 0;
    /// The last list read may be passed on.
    bool m_settled = false;
    /// The instances changed while the reader's news were relied on.
    bool m_instancesMissed = false;
    TimerSubscription m_timer;
    TimerSubscription m_operatorTimer;
    TimerSubscription m_waitTimer;
    TimerSubscription m_firstListTimer;
    TimerSubscription m_suspectTimer;
    std::vector<std::function<void()>> m_waiting;
};

} // namespace lycheebay
