#pragma once

#include "base/itimerservice.h"
#include "configuration/configurationlease.h"
#include "configuration/iconfigurationfollower.h"
#include "transport/ipeerlinks.h"
#include "transport/peernodetypes.h"

#include <memory>

namespace lycheebay {

/// Joins member table, neighbour selection and peer links, and carries configuration records,
/// target verdicts and crash suspects between entry instances. All methods are thread-safe.
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

    /// Starts the links and subscribes to \a timers. Errors: Unavailable when the peer address
    /// cannot be bound.
    absl::Status start(ITimerService &timers);
    /// Closes the links. Precondition: not called by a callback.
    void stop();
    /// One step of the periodic work; start() has it called every 100 ms.
    void tick();

    /// Call on each new configuration: takes the roster and passes new records on.
    /// \a nextOffset is ConfigurationState::nextOffset().
    void setConfiguration(const std::vector<RosterMember> &roster, std::uint64_t nextOffset);
    /// Peer addresses from the settings and the platform's list, used when no member is known.
    void setSeeds(std::vector<Address> addresses);
    /// Ids that the platform's list shows as leaving.
    void setPlatformLeaving(const StringSet &instanceIds);
    /// Tells the peers that this instance leaves soon.
    void setLeaving(bool leaving);

    /// Shares verdicts that changed with the peers of the region.
    void shareVerdicts(const std::vector<TargetVerdict> &verdicts);
    /// Shares crash suspects with the peers in their home regions.
    void shareCrashSuspects(const std::vector<SharedCrashSuspect> &suspects);

    /// Never null.
    IntrusivePtr<const CellPlan> plan() const;
    PeerTraffic traffic() const;
    std::vector<PeerStatus> peers() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lycheebay
