#pragma once

#include "estate/address.h"
#include "routing/celldispatcher.h"

#include <chrono>
#include <functional>
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

/// One setting as it is in force.
struct SettingInForce
{
    std::string name;
    std::string value;
    /// "flag", "environment" or "default".
    std::string source;

    auto operator<=>(const SettingInForce &) const = default;
};

/// What the command line and the environment asked for.
struct SettingsRequest
{
    Settings settings;
    std::vector<SettingInForce> inForce;
    /// One message a fault, each naming the setting and what is allowed. The settings are usable
    /// only when this is empty.
    std::vector<std::string> faults;
    /// --check-settings: print what is in force and exit.
    bool checkOnly = false;
    /// Text of --help or --version; empty otherwise.
    std::string information;
};

/// Looks up an environment variable; null when it is not set.
using EnvironmentLookup = std::function<const char *(const char *name)>;

/// Reads all settings from flags, then from environment variables (LYCHEEBAY_ and the flag's name
/// in upper case with underscores), then from defaults. Never throws. Thread-safe if \a environment
/// is.
SettingsRequest readSettings(const std::vector<std::string> &arguments,
                             const EnvironmentLookup &environment);

/// Lists every setting with its default and range, for --help and the documentation.
std::string describeSettings();

} // namespace lycheebay
