#pragma once

#include "daemon/settings.h"

#include <span>

namespace lycheebay {

/// How one setting is named, checked and stored.
struct SettingSpec
{
    const char *name;
    const char *description;
    /// What is allowed, in words.
    const char *range;
    /// Null for a setting that must be given.
    const char *defaultValue;
    bool repeatable;
    /// Stores the value and returns true, or returns false when it is not allowed.
    bool (*store)(Settings &settings, const std::string &text);
};

/// The table of all settings.
std::span<const SettingSpec> settingSpecs();

} // namespace lycheebay
