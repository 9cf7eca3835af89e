#pragma once

#include "configuration/configurationtypes.h"
#include "membership/cellplan.h"
#include "membership/membertable.h"
#include "routing/routingtypes.h"
#include "transport/peertraffic.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheebay {

/// A request that is suspected of crashing targets, as exchanged between instances.
struct SharedCrashSuspect
{
    std::uint64_t fingerprint = 0;
    int crashCount = 0;
    Duration expiresIn{};
    /// The only regions to which data about the request may be sent; empty means all.
    std::vector<std::string> homeRegions;

    auto operator<=>(const SharedCrashSuspect &) const = default;
};

struct PeerNodeSettings
{
    /// This instance's roster entry; other instances connect to its peer address.
    RosterMember self;
    /// Wall-clock start time in milliseconds; orders the incarnations of one instance id.
    std::int64_t startedAtMs = 0;
    Duration heartbeatPeriod = std::chrono::milliseconds(500);
    MemberTableSettings table;
};

/// Callbacks run without a lock held, on the timer thread, the I/O thread or the thread whose call
/// caused them. They must not block for long and must not call PeerNode::stop(). Unset callbacks
/// are skipped.
struct PeerNodeCallbacks
{
    /// Calls from different threads may arrive out of order; PeerNode::plan() returns the newest.
    std::function<void(const IntrusivePtr<const CellPlan> &)> planChanged;
    /// Asks to publish `leave` for the given incarnation. Repeated every 5 s until the roster no
    /// longer lists it.
    std::function<void(const RosterMember &)> removeMember;
    /// Passes only verdicts that are newer than the known ones.
    std::function<void(const std::vector<TargetVerdict> &)> verdictsReceived;
    std::function<void(const std::vector<SharedCrashSuspect> &)> crashSuspectsReceived;
};

/// The state of one peer, for the status page.
struct PeerStatus
{
    std::string instanceId;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string failureDomain;
    Address peer;
    MemberState state = MemberState::Alive;
    bool leaving = false;
    bool inRoster = false;
    bool linked = false;
    /// Time since the last frame on the direct link; empty without a direct link.
    std::optional<Duration> lastHeard;
    /// The next configuration offset that the peer reported; empty without a direct link.
    std::optional<std::uint64_t> nextOffset;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;

    auto operator<=>(const PeerStatus &) const = default;
};

} // namespace lycheebay
