#pragma once

#include "base/settingsreader.h"
#include "gateway/servicepool.h"

namespace lycheebay {

/// Settings of a gateway daemon that operators may change.
struct GatewayOptions
{
    std::string logLevel;
    ServicePoolSettings pool;
    /// How long callers may keep an address answer.
    Duration addressTtl{};
    std::size_t maxCallerConnections = 0;
    int maxLogLinesPerSecond = 0;

    auto operator<=>(const GatewayOptions &) const = default;
};

/// What the command line and the environment asked for.
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
