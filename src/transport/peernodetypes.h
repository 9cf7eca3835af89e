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

/// A request that is suspected of crashing targets, as instances share it.
struct SharedCrashSuspect
{
    std::uint64_t fingerprint = 0;
    int crashCount = 0;
    Duration expiresIn{};
    /// Regions that may know of the request; empty means all.
    std::vector<std::string> homeRegions;

    auto operator<=>(const SharedCrashSuspect &) const = default;
};

struct PeerNodeSettings
{
    /// This incarnation; its peer address is where others connect.
    RosterMember self;
    /// Wall-clock start of this incarnation; orders it after earlier ones of the same id.
    std::int64_t startedAtMs = 0;
    Duration heartbeatPeriod = std::chrono::milliseconds(500);
    MemberTableSettings table;
};

/// Called without a lock held, on the timer thread, the I/O thread or the thread of the call that
/// caused it. They must not block for long and must not call PeerNode::stop(). Empty ones are
/// skipped.
struct PeerNodeCallbacks
{
    /// Calls may come out of order from two threads; PeerNode::plan() is always the newest.
    std::function<void(const IntrusivePtr<const CellPlan> &)> planChanged;
    /// Publish `leave` for this incarnation. Repeated every 5 s until the roster lacks it.
    std::function<void(const RosterMember &)> removeMember;
    /// Only verdicts that are newer than those known here.
    std::function<void(const std::vector<TargetVerdict> &)> verdictsReceived;
    std::function<void(const std::vector<SharedCrashSuspect> &)> crashSuspectsReceived;
};

/// One peer for the status page.
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
    /// Time since it was heard over its own link; empty for a peer without one.
    std::optional<Duration> lastHeard;
    /// Next configuration offset that it reported; empty for a peer without a link.
    std::optional<std::uint64_t> nextOffset;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;

    auto operator<=>(const PeerStatus &) const = default;
};

} // namespace lycheebay
