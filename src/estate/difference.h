#pragma once

#include "estate/estatetypes.h"

#include <string>
#include <vector>

namespace lycheebay {

/// Returns the difference between two valid estates for operators, one line per object that was
/// added, removed or changed. Empty when only the order differs. Thread-safe.
std::vector<std::string> describeDifference(const EstateData &before, const EstateData &after);

/// Returns kind and name, such as "target kat-1", of each object that differs, sorted. Thread-safe.
std::vector<std::string> changedObjects(const EstateData &before, const EstateData &after);

} // namespace lycheebay
