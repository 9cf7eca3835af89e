#pragma once

#include "base/settingsreader.h"
#include "gateway/servicepool.h"

namespace lycheebay {

/// Options of a gateway daemon that operators set with flags or environment variables.
struct GatewayOptions
{
    std::string logLevel;
    ServicePoolSettings pool;
    /// How long callers may cache an address answer.
    Duration addressTtl{};
    /// Zero derives the limit from the resources of the instance.
    std::size_t maxCallerConnections = 0;
    int maxLogLinesPerSecond = 0;

    auto operator<=>(const GatewayOptions &) const = default;
};

/// The parsed options, with the errors found in the command line and the environment.
struct GatewayOptionsRequest : SettingsReading
{
    GatewayOptions options;
};

/// Returns how many connections of callers an instance with these resources serves. The rest of the
/// descriptors is left for connections to targets, other instances and the platform, and for
/// callers that are refused. Thread-safe.
std::size_t callerConnectionLimit(std::size_t descriptors, std::size_t memoryBytes);

/// Returns how many connections for address queries an instance with that many descriptors serves.
/// Thread-safe.
std::size_t lookupConnectionLimit(std::size_t descriptors);

/// Returns how many bytes requests, and responses that wait for their callers, may take together,
/// on an instance with this memory. Thread-safe.
std::size_t callerMemoryLimit(std::size_t memoryBytes);

/// Returns how many bytes responses that are not complete may take together, on an instance with
/// this memory. Thread-safe.
std::size_t responseMemoryLimit(std::size_t memoryBytes);

/// Reads the options of the daemon \a program as readSettingValues() does. Never throws.
/// Thread-safe if \a environment is.
GatewayOptionsRequest readGatewayOptions(const std::string &program,
                                         const std::vector<std::string> &arguments,
                                         const EnvironmentLookup &environment);

} // namespace lycheebay
