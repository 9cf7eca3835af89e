#pragma once

#include "base/itimerservice.h"
#include "configuration/configurationlease.h"
#include "configuration/iconfigurationfollower.h"
#include "transport/ipeerlinks.h"
#include "transport/peernodetypes.h"

#include <memory>

namespace lycheebay {

/// A node of the peer-to-peer network of entry instances. Maintains the member table, selects the
/// neighbours to link to, and exchanges configuration records, target verdicts and crash suspects.
/// All methods are thread-safe.
class PeerNode
{
public:
    /// Precondition: all references outlive the node.
    PeerNode(PeerNodeSettings settings, const IClock &clock, IPeerLinks &links,
             IConfigurationFollower &follower, ConfigurationLease &lease,
             PeerNodeCallbacks callbacks);
    ~PeerNode();
    PeerNode(const PeerNode &) = delete;
    PeerNode &operator=(const PeerNode &) = delete;

    /// Starts the links and the periodic work on \a timers. Errors: Unavailable when the peer
    /// address cannot be bound.
    absl::Status start(ITimerService &timers);
    /// Stops the timers and closes the links. Precondition: not called by a callback.
    void stop();
    /// Performs the periodic work. Called every 100 ms after start(); tests call it directly.
    void tick();

    /// Applies the roster of a new configuration and forwards new records to the peers.
    /// \a nextOffset is ConfigurationState::nextOffset().
    void setConfiguration(const std::vector<RosterMember> &roster, std::uint64_t nextOffset);
    /// Sets the bootstrap addresses, from the settings and the platform's list. Those that belong
    /// to no usable member are contacted in turn.
    void setSeeds(std::vector<Address> addresses);
    /// Sets the ids of the instances that the platform's list shows as leaving.
    void setPlatformLeaving(const StringSet &instanceIds);
    /// Announces to the peers whether this instance is about to leave.
    void setLeaving(bool leaving);

    /// Sends changed verdicts to the peers in the own region.
    void shareVerdicts(const std::vector<TargetVerdict> &verdicts);
    /// Sends crash suspects to the peers in the home regions of each suspect.
    void shareCrashSuspects(const std::vector<SharedCrashSuspect> &suspects);

    /// Returns the current cell plan; never null.
    IntrusivePtr<const CellPlan> plan() const;
    PeerTraffic traffic() const;
    std::vector<PeerStatus> peers() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lycheebay
