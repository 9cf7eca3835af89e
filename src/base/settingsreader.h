#pragma once

#include <functional>
#include <string>
#include <vector>

namespace lycheebay {

/// One setting as it is in force.
struct SettingInForce
{
    std::string name;
    std::string value;
    /// "flag", "environment" or "default".
    std::string source;

    auto operator<=>(const SettingInForce &) const = default;
};

/// How one setting is named, checked and stored.
struct SettingEntry
{
    const char *name;
    const char *description;
    /// What is allowed, in words.
    const char *range;
    /// Null for a setting that must be given.
    const char *defaultValue;
    bool repeatable;
    /// Stores the value and returns true, or returns false when it is not allowed.
    std::function<bool(const std::string &text)> store;
};

/// What is read apart from the settings' own values.
struct SettingsReading
{
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

/// A program whose settings are read.
struct SettingsProgram
{
    std::string name;
    std::string summary;
    std::vector<SettingEntry> entries;
};

/// Reads all settings from flags, then from environment variables (LYCHEEBAY_ and the flag's name
/// in upper case with underscores), then from defaults. Never throws. Thread-safe if \a environment
/// is.
SettingsReading readSettingValues(const SettingsProgram &program,
                                  const std::vector<std::string> &arguments,
                                  const EnvironmentLookup &environment);

/// Lists every setting with its default and range, for --help and the documentation. Thread-safe.
std::string describeSettings(const SettingsProgram &program);

} // namespace lycheebay
