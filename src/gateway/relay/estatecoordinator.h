#pragma once

#include "base/irandomsource.h"
#include "base/itimerservice.h"
#include "gateway/dispatchplan.h"
#include "gateway/gateway.h"
#include "gateway/gatewayblackboard.h"
#include "gateway/relay/estateupdate.h"
#include "gateway/relay/iestatesource.h"
#include "gateway/relay/reporthistory.h"
#include "gateway/relay/spillovercoordinator.h"
#include "transport/ipeerlinks.h"

#include <log4cplus/logger.h>

#include <map>
#include <optional>

namespace lycheebay {

/// Keeps this instance's view of the estate up to date with few calls to the platform. In each
/// region one instance, the reader, reads the platform and sends updates to the others, its
/// followers; they read the platform themselves only when the updates are late. The reader is
/// chosen by rendezvous hashing.
///
/// A follower that loses its reader follows the next one in rank, and an instance reads as long as
/// others follow it. A failed reader is thus replaced before it disappears from the list of
/// instances.
///
/// Reports of what instances have observed go over the same links, in both directions. A reader
/// also links to the next one in rank and to the readers of the other regions, only for reports: an
/// instance that returns as the reader thus learns what its region knows before it is followed.
///
/// This class decides whether this instance reads; IEstateSource implements the reads.
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
        /// Port on which every instance accepts links.
        std::uint16_t relayPort = 0;
        /// Time within which a change must be in force at every instance.
        Duration maxPropagationDelay = std::chrono::seconds(2);
        /// True if all instances start at the same time; no caller is then served before they know
        /// each other.
        bool wholeSystemStarts = false;
    };

    /// Precondition: all references outlive the coordinator.
    EstateCoordinator(ITimerService &timers, const IClock &clock, IRandomSource &random,
                      GatewayBlackboard &blackboard, IEstateSource &source, IPeerLinks &links,
                      Settings settings);

    /// Starts the links and the reads. Errors: Unavailable if the links cannot be started.
    absl::Status start();
    /// True if this instance reads the platform for its region.
    bool isReader() const { return m_role == Role::Reader; }
    /// Removes this instance from its list of instances and sends the list to its followers, so
    /// that they choose another reader at once.
    void leave();

    void targetsRead(const IntrusivePtr<const TargetList> &targets, TimePoint startedAt,
                     bool upToDate) override;
    void operatorRecordsRead() override;
    void instancesChanged() override;
    void instancesRead(const IntrusivePtr<const InstanceList> &instances) override;
    void platformRegained() override;

    void linkOpened(LinkId link, bool outbound, const Address &remote) override;
    absl::Status frameReceived(LinkId link, std::string_view frame) override;
    void linkClosed(LinkId link) override;

    void whenUpToDate(std::function<void()> done) override;
    void markInUse() override;

private:
    /// Unknown until the first list of instances is available.
    enum class Role { Unknown, Reader, Follower };

    /// State that was last sent or received on a link. A list is null until it was sent or received
    /// once: the sender does not know it yet, which is different from an empty list.
    struct SyncedState
    {
        std::uint64_t operatorRecordsRevision = 0;
        std::optional<std::vector<TargetRecord>> targets;
        std::optional<std::vector<GatewayInstance>> instances;
    };

    void chooseReader();
    /// Returns the instances of a region that should read for it, at most \a n, in order of rank.
    std::vector<GatewayInstance> preferredReaders(const std::string &region, std::size_t n) const;
    /// Sets the instances that this one links to.
    void updateLinks();
    /// Instances that a reader exchanges reports with, by the address of their link.
    std::map<Address, std::string> exchangePartners() const;
    /// Region of the instance at a host; empty if it is not known.
    std::string regionOf(const std::string &host) const;
    void exchangeLinkOpened(LinkId link, const std::string &region);
    /// Handles a frame on a link that only exchanges reports, or the first one that says so.
    void exchangeFrameReceived(LinkId link, const EstateUpdate &update);
    /// Excludes the current reader for some time and follows the next one in rank.
    void suspectReader(const char *reason);
    /// Suspects the reader if its updates are late although the platform can be read.
    void suspectReaderIfSilent();
    /// True if this instance reads the platform on behalf of others.
    bool readsForOthers() const { return m_role == Role::Reader || !m_followers.empty(); }
    /// True if this instance does not read the platform itself because the reader's updates are in
    /// time.
    bool reliesOnReader() const;
    void scheduleRead();
    void readNow();
    /// True if this instance has read the platform itself since the reader's updates became late.
    bool hasReadSinceUpdates() const;
    Duration readDelay() const;
    /// Readers read more often, so that their updates are still in time after one lost read.
    Duration readPeriod() const
    {
        return m_settings.maxPropagationDelay / (readsForOthers() ? 3 : 2);
    }
    /// Age from which the last update counts as late.
    Duration updateTimeout() const { return m_settings.maxPropagationDelay * 3 / 4; }
    bool isRecent(Duration maxAge) const;
    /// Sets the poll timeout for the operator's records, and sets it again when the next update is
    /// overdue.
    void updateOperatorPollTimeout();
    TimePoint updateDeadline() const;
    bool hasRecentOperatorRecords() const;
    /// Reads what else comes with updates, now that the platform was reached without them.
    void readWhatUpdatesBrought();
    void publish(const IntrusivePtr<const TargetList> &targets);
    void publish(const IntrusivePtr<const InstanceList> &instances);
    /// Publishes the lists received from the reader, the last time with \a update. A list that was
    /// never received does not replace the known one.
    void publishReceived(const EstateUpdate &update);
    void publishReceivedTargets(const EstateUpdate &update);
    void publishReceivedInstances();
    void sendUpdates();
    void sendUpdateTo(LinkId link);
    void releaseWaitingRequests();
    absl::Status followerFrameReceived(LinkId link, std::string_view frame);
    std::string encodeObservations(const Observations &observations);
    /// Sends a report to the followers except \a source, and to the reader.
    void sendReport(const Observations &report, std::optional<LinkId> source);
    /// The part of the observations that the region may learn.
    static Observations visibleIn(const std::string &region, Observations observations);
    /// Sends all reports that hold on a link that was opened, whichever end has opened it.
    void sendKnownReports(LinkId link);
    /// Publishes the report in a frame; returns false if it contains none.
    bool reportReceived(LinkId link, const EstateUpdate &update);
    void sendOverflowToReader(const OverflowCounts &counts);

    ITimerService &m_timers;
    const IClock &m_clock;
    IRandomSource &m_random;
    GatewayBlackboard &m_blackboard;
    IEstateSource &m_source;
    IPeerLinks &m_links;
    const Settings m_settings;
    const log4cplus::Logger m_logger;
    Role m_role = Role::Unknown;
    std::string m_readerId;
    TimePoint m_readerSince;
    /// Instances that are not followed until the given time.
    std::map<std::string, TimePoint> m_suspects;
    std::map<LinkId, SyncedState> m_followers;
    /// Links that only exchange reports, with the region of the other end.
    std::map<LinkId, std::string> m_exchangeLinks;
    RecordCompressor m_compressor;
    /// Reports of this instance and of others.
    ReportHistory m_reports;
    SpilloverCoordinator m_spillover;
    std::optional<LinkId> m_readerLink;
    /// State that was received from the reader.
    SyncedState m_received;
    TimePoint m_startedAt;
    /// Start of the read that produced the latest known state, read here or by the reader.
    std::optional<TimePoint> m_asOf;
    /// Value of \c asOf in the reader's last update.
    std::optional<TimePoint> m_lastUpdateAsOf;
    std::optional<TimePoint> m_lastReadAt;
    /// Start of the last read here that succeeded.
    std::optional<TimePoint> m_lastSuccessAt;
    std::optional<TimePoint> m_lastUseAt;
    int m_failures = 0;
    /// The list of targets from the last read may be forwarded to followers.
    bool m_targetsUpToDate = false;
    /// The instances changed, but were not read here because this instance relied on the reader.
    bool m_instanceReadSkipped = false;
    TimerSubscription m_readTimer;
    TimerSubscription m_operatorPollTimer;
    TimerSubscription m_waitingRequestsTimer;
    TimerSubscription m_firstInstanceReadTimer;
    TimerSubscription m_suspectTimer;
    std::vector<std::function<void()>> m_waitingRequests;
};

} // namespace lycheebay
