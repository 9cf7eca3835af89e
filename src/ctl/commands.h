#pragma once

#include "ctl/adminclient.h"
#include "ctl/options.h"

#include <iosfwd>

namespace lycheebay {

/// Where a command writes.
struct Output
{
    std::ostream &out;
    std::ostream &err;
};

/// Runs the command that \a options name. Blocks.
ExitCode runCommand(const Options &options, const Output &output);

/// Maps an error of AdminClient to the exit code that scripts see.
ExitCode exitCodeOf(const absl::Status &status);

} // namespace lycheebay
