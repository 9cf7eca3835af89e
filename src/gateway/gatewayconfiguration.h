#pragma once

#include "base/iclock.h"
#include "base/intrusiveptr.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheebay {

/// Whether a request may be sent again when it is unknown if it has run.
enum class ExecutionSemantics {
    Idempotent, ///< may run any number of times
    AtMostOnce, ///< must not be sent again once any byte may have reached a target
};

/// A service that receives part of a route's requests.
struct WeightedService
{
    std::string service;
    /// Relative to the sum of the weights of the route.
    double weight = 1;

    auto operator<=>(const WeightedService &) const = default;
};

/// Destination and limits of the requests with one host and path prefix.
struct Route
{
    std::string name;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    std::vector<WeightedService> services;
    ExecutionSemantics executionSemantics = ExecutionSemantics::AtMostOnce;
    /// Time after which a request is answered with an error.
    Duration timeout{};
    /// Latency objective: answers within this time have their full value for the caller.
    Duration targetLatency{};
    /// 0 is the highest priority.
    int priority = 0;
    /// Maximum number of targets that one request may be sent to.
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
    /// How long a target stays cold after it started.
    Duration warmup{};
    /// Requests per second that a cold target can handle.
    double coldRequestsPerSecond = 0;

    auto operator<=>(const ServiceProperties &) const = default;
};

/// Limits on the size and duration of requests and on idle connections of callers.
struct CallerLimits
{
    std::size_t headBytes = 16UL << 10U;
    std::size_t bodyBytes = 64UL << 20U;
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    auto operator<=>(const CallerLimits &) const = default;
};

/// The active configuration. Immutable once published; a higher version replaces it as a whole.
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
