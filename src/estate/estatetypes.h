#pragma once

#include "base/iclock.h"
#include "estate/address.h"

#include <compare>
#include <string>
#include <vector>

namespace lycheebay {

/// Instances and targets that fail together.
struct FailureDomain
{
    std::string name;
    std::string region;
    bool drained = false;

    auto operator<=>(const FailureDomain &) const = default;
};

/// A back end that runs requests of one service.
struct Target
{
    std::string id;
    std::string service;
    std::string failureDomain;
    Address address;
    /// Requests that it runs at the same time.
    int slots = 1;
    /// Requests that it bears at the same time during a cold start; at most `slots`.
    int coldLimit = 1;
    int maxConnections = 250;
    bool drained = false;

    auto operator<=>(const Target &) const = default;
};

/// How requests of a service that match a method and a path prefix are treated.
struct Route
{
    std::string service;
    /// An HTTP method, or "*" for all.
    std::string method = "*";
    /// Matches whole path segments: "/clubs" matches "/clubs/7" but not "/clubsrooms".
    std::string pathPrefix = "/";
    bool idempotent = true;
    /// Priority when targets are busy: heavier requests leave the queue before lighter ones, which
    /// still get a share, and are shed last. A lookup has 1, an order 2.
    int weight = 1;
    /// Regions that may serve and store the request; empty means all.
    std::vector<std::string> homeRegions;

    auto operator<=>(const Route &) const = default;
};

/// A tenant whose requests may be served and stored only in some regions; no region means all.
struct Tenant
{
    std::string name;
    std::vector<std::string> homeRegions;

    auto operator<=>(const Tenant &) const = default;
};

enum class StopScope { Target, FailureDomain, Instance };

/// A stop planned by an operator. The object gets no new work until `end`, from so long before
/// `start` that running requests can finish.
struct PlannedStop
{
    std::string id;
    StopScope scope = StopScope::Target;
    /// Name of the target, failure domain or instance.
    std::string name;
    WallTime start;
    WallTime end;

    auto operator<=>(const PlannedStop &) const = default;
};

/// Everything that operators describe; plain data that Estate indexes.
struct EstateData
{
    std::vector<std::string> regions;
    std::vector<FailureDomain> failureDomains;
    std::vector<std::string> services;
    std::vector<Target> targets;
    std::vector<Route> routes;
    std::vector<Tenant> tenants;
    std::vector<PlannedStop> plannedStops;

    auto operator<=>(const EstateData &) const = default;
};

} // namespace lycheebay
