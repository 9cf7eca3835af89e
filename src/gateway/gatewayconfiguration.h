#pragma once

#include "base/iclock.h"
#include "base/intrusiveptr.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheebay {

/// What may be done with a request whose outcome is unknown.
enum class ExecutionSemantics {
    Idempotent, ///< may run more than once
    AtMostOnce, ///< must not be sent again once a byte may have reached a target
};

/// One service of a route and its share of the route's requests.
struct WeightedService
{
    std::string service;
    /// Relative to the sum over the route's parts.
    double weight = 1;

    auto operator<=>(const WeightedService &) const = default;
};

/// Where requests of one host and path prefix go, and within which bounds.
struct Route
{
    std::string name;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    std::vector<WeightedService> services;
    ExecutionSemantics executionSemantics = ExecutionSemantics::AtMostOnce;
    /// Longest time that a request is kept waiting.
    Duration timeout{};
    /// Time within which an answer has its full value for the caller.
    Duration targetLatency{};
    /// 0 is the most urgent.
    int priority = 0;
    /// Most targets that one request may be sent to.
    int maxAttempts = 1;
    /// Regions that may serve the requests; empty means all.
    std::vector<std::string> homeRegions;

    auto operator<=>(const Route &) const = default;
};

/// A host name that callers use and its routes.
struct RoutedHost
{
    std::string host;
    std::vector<Route> routes;

    auto operator<=>(const RoutedHost &) const = default;
};

/// Properties that all targets of a service share.
struct ServiceProperties
{
    std::string name;
    std::string healthPath;
    /// Connections that a target accepts from all callers together.
    int maxConnections = 0;
    /// How long a target stays cold after a start.
    Duration warmup{};
    /// Requests a second that a cold target bears.
    double coldRequestsPerSecond = 0;

    auto operator<=>(const ServiceProperties &) const = default;
};

/// What a caller may send, and how long it may take or stay idle.
struct CallerLimits
{
    std::size_t headBytes = 16UL << 10U;
    std::size_t bodyBytes = 64UL << 20U;
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    auto operator<=>(const CallerLimits &) const = default;
};

/// The configuration in force. Immutable once published; a higher version replaces it as a whole.
struct GatewayConfiguration : RefCounted
{
    std::uint64_t version = 0;
    std::vector<RoutedHost> hosts;
    std::vector<ServiceProperties> services;
    CallerLimits limits;

    friend bool operator==(const GatewayConfiguration &a, const GatewayConfiguration &b)
    {
        return a.version == b.version && a.hosts == b.hosts && a.services == b.services
               && a.limits == b.limits;
    }
};

} // namespace lycheebay
