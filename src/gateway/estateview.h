#pragma once

#include "base/iclock.h"
#include "base/intrusiveptr.h"
#include "estate/address.h"
#include "outcomes/crashsuspects.h"

#include <string>
#include <vector>

namespace lycheebay {

/// Longest name of a target, service, failure domain or instance, in bytes. Instances reject
/// updates that contain a longer or an empty one.
constexpr std::size_t kMaxNameBytes = 256;

/// Registration of one incarnation of a target.
struct TargetRecord
{
    std::string id;
    std::string service;
    Address address;
    std::string failureDomain;
    /// Number of requests that the target runs concurrently.
    int slots = 1;
    /// True if the target is shutting down and must get no new requests.
    bool leaving = false;
    /// Start time of this incarnation, in milliseconds since the Unix epoch.
    std::int64_t startedAtMs = 0;
    /// End of the warm-up according to the registration; the epoch if the target is warm.
    TimePoint coldUntil;

    auto operator<=>(const TargetRecord &) const = default;
};

/// The registered targets. Immutable once published.
struct TargetList : RefCounted
{
    std::vector<TargetRecord> targets;

    friend bool operator==(const TargetList &a, const TargetList &b)
    {
        return a.targets == b.targets;
    }
};

/// Failure domains whose targets must get no new requests.
struct DrainedDomains : RefCounted
{
    std::vector<std::string> domains;

    friend bool operator==(const DrainedDomains &a, const DrainedDomains &b)
    {
        return a.domains == b.domains;
    }
};

/// A gateway instance that callers can connect to.
struct GatewayInstance
{
    std::string id;
    Address address;
    std::string failureDomain;
    /// Capacity relative to the smallest instance. Above 0.
    double weight = 1;

    auto operator<=>(const GatewayInstance &) const = default;
};

/// The live gateway instances, sorted by id. Immutable once published.
struct InstanceList : RefCounted
{
    std::vector<GatewayInstance> instances;

    friend bool operator==(const InstanceList &a, const InstanceList &b)
    {
        return a.instances == b.instances;
    }
};

/// Requests for lack of room between this region and another one.
struct RegionOverflow
{
    std::string region;
    /// Requests from that region which got a target here.
    int received = 0;
    /// Requests from here which got a target there.
    int sent = 0;

    auto operator<=>(const RegionOverflow &) const = default;
};

/// What the dispatchers of a region have counted in some period.
struct OverflowCounts : RefCounted
{
    /// Requests that got a target here.
    int placed = 0;
    std::vector<RegionOverflow> regions;
};

/// What instances have observed of targets.
struct Observations
{
    /// Requests that are suspected of crashing targets.
    std::vector<SharedSuspect> crashSuspects;
    /// Keys of targets that have stated in a response that they leave.
    std::vector<std::string> leavingTargets;

    bool empty() const { return crashSuspects.empty() && leavingTargets.empty(); }

    auto operator<=>(const Observations &) const = default;
};

/// Observations that an instance reports to the others of its region.
struct InstanceReport : RefCounted, Observations
{
    InstanceReport() = default;
    explicit InstanceReport(Observations observations)
        : Observations(std::move(observations))
    {}
};

/// Share of the callers in this region that stay here although \a homeRegion serves some of their
/// requests.
struct LocalShare
{
    std::string homeRegion;
    /// From 0 to 1.
    double share = 0;

    auto operator<=>(const LocalShare &) const = default;
};

/// The shares that are in force in a region, sorted by home region; those not listed are zero.
/// Immutable once published.
struct LocalShares : RefCounted
{
    std::vector<LocalShare> shares;

    friend bool operator==(const LocalShares &a, const LocalShares &b)
    {
        return a.shares == b.shares;
    }
};

} // namespace lycheebay
