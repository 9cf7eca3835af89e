#pragma once

#include "tools/load/historycheck.h"
#include "tools/load/loadsettings.h"

namespace lycheebay::load {

/// Sends the whole workload and returns its history in order of the intended times. Blocks.
std::vector<RequestRecord> runLoad(const LoadSettings &settings);

/// Errors: Unavailable, InvalidArgument naming the line.
absl::Status writeHistory(const std::string &file, const std::vector<RequestRecord> &history);
absl::StatusOr<std::vector<RequestRecord>> readHistory(const std::string &file);

/// Reads the run counts of all target stand-ins. Errors: Unavailable. Blocks.
absl::StatusOr<RunCounts> fetchRunCounts(const std::vector<std::string> &targetControls);

} // namespace lycheebay::load
