#pragma once

#include "base/settingsreader.h"
#include "estate/address.h"
#include "routing/celldispatcher.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lycheebay {

/// Everything that one daemon is told at start. Plain values; checked as a whole by readSettings().
struct Settings
{
    std::string instanceId;
    std::string region;
    std::string failureDomain;
    std::string storeRegion;
    Address listen;
    Address peerListen;
    Address platform;
    std::vector<Address> peers;

    int maxConnections = 0;
    int maxConnectionsPerTarget = 0;
    int maxBodyBytes = 0;
    int maxMessageBytes = 0;
    int maxOutcomes = 0;
    int maxOutcomeBytes = 0;
    int spillBytesPerSecond = 0;
    Duration idleTimeout{};
    Duration defaultDeadline{};
    Duration maxDeadline{};
    Duration addressTtl{};
    Duration ticketLife{};
    Duration outcomeRetention{};
    Duration pollPeriod{};
    Duration platformTimeout{};
    Duration leaveTimeout{};
    Duration logRetention{};
    DispatcherSettings dispatcher;
    bool serveWhenUnattested = false;
    bool fatalInvariants = false;
    std::string logLevel;

    auto operator<=>(const Settings &) const = default;
};

/// What the command line and the environment asked for.
struct SettingsRequest : SettingsReading
{
    Settings settings;
};

/// Reads all settings from flags, then from environment variables (LYCHEEBAY_ and the flag's name
/// in upper case with underscores), then from defaults. Never throws. Thread-safe if \a environment
/// is.
SettingsRequest readSettings(const std::vector<std::string> &arguments,
                             const EnvironmentLookup &environment);

/// Lists every setting with its default and range, for --help and the documentation.
std::string describeSettings();

} // namespace lycheebay
