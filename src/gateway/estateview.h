#pragma once

#include "base/iclock.h"
#include "base/intrusiveptr.h"
#include "estate/address.h"

#include <string>
#include <vector>

namespace lycheebay {

/// One incarnation of a target, as its registration describes it.
struct TargetRecord
{
    std::string id;
    std::string service;
    Address address;
    std::string failureDomain;
    /// Requests that the target runs at the same time.
    int slots = 1;
    /// True if the target leaves and must get no new work.
    bool leaving = false;
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    std::int64_t startedAtMs = 0;
    /// The target is cold until then, as far as its registration tells; the epoch if it is not.
    TimePoint coldUntil;

    auto operator<=>(const TargetRecord &) const = default;
};

/// The targets that may be used. Immutable once published.
struct TargetList : RefCounted
{
    std::vector<TargetRecord> targets;

    friend bool operator==(const TargetList &a, const TargetList &b)
    {
        return a.targets == b.targets;
    }
};

/// Failure domains whose targets must get no new work.
struct DrainedDomains : RefCounted
{
    std::vector<std::string> domains;

    friend bool operator==(const DrainedDomains &a, const DrainedDomains &b)
    {
        return a.domains == b.domains;
    }
};

/// A gateway instance that callers can be sent to.
struct GatewayInstance
{
    std::string id;
    Address address;
    std::string failureDomain;
    /// Size relative to the smallest instance; larger ones get more work. Above 0.
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

} // namespace lycheebay
