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
    std::size_t maxCallerConnections = 0;
    int maxLogLinesPerSecond = 0;

    auto operator<=>(const GatewayOptions &) const = default;
};

/// The parsed options, with the errors found in the command line and the environment.
struct GatewayOptionsRequest : SettingsReading
{
    GatewayOptions options;
};

/// Reads the options of the daemon \a program as readSettingValues() does. Never throws.
/// Thread-safe if \a environment is.
GatewayOptionsRequest readGatewayOptions(const std::string &program,
                                         const std::vector<std::string> &arguments,
                                         const EnvironmentLookup &environment);

} // namespace lycheebay
