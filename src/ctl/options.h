#pragma once

#include "estate/address.h"

#include <string>
#include <vector>

namespace lycheebay {

/// Exit codes of lycheebayctl; scripts rely on them.
enum class ExitCode {
    Done = 0,
    Refused = 1, ///< bad input or a refusal by the entry; nothing changed
    Usage = 2,
    Conflict = 3,     ///< another change came first; nothing changed
    Unavailable = 4,  ///< no entry or no log could be reached; nothing changed
    Unknown = 5,      ///< the change may have been published; publish again with the same --id
    NotEverywhere = 6 ///< accepted, but not in force on every entry within --wait-s
};

/// What the command line asks for.
struct Options
{
    Address entry;
    bool json = false;
    bool dryRun = false;
    std::string author;
    /// Id of the change; random unless given, so that a lost answer can be followed by a repeat.
    std::string changeId;
    /// Time to wait until a change is in force everywhere.
    int waitSeconds = 12;
    std::string scope;
    std::string name;
    std::string start;
    std::string end;
    std::string service;
    std::string method;
    std::string path;
    std::string tenant;
    /// The command and its arguments.
    std::vector<std::string> words;

    auto operator<=>(const Options &) const = default;
};

/// What reading the command line gave: options, or a text to print and an exit code.
struct OptionsReading
{
    Options options;
    std::string text;
    ExitCode exitCode = ExitCode::Done;
    bool proceed = false;
};

/// Reads flags; LYCHEEBAY_ENTRY stands for --entry when that is missing. Never throws.
OptionsReading readOptions(const std::vector<std::string> &arguments);

} // namespace lycheebay
