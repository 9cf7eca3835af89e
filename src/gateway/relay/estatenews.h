#pragma once

#include "gateway/estateview.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace lycheebay {

/// What an instance that reads the platform tells the others of its region.
struct EstateNews
{
    /// When the read began that this rests on, on the clock of the instance that holds the value.
    TimePoint asOf;
    /// Position up to which the configuration was read.
    std::uint64_t configurationPosition = 0;
    /// Null if the list did not change since the last news on the same link.
    IntrusivePtr<const TargetList> targets;
};

/// Encodes news for a frame. Ages are rounded up to milliseconds. Thread-safe.
std::string encodeNews(const EstateNews &news, TimePoint now);

/// Decodes a frame; times are put on this instance's clock. Errors: InvalidArgument, naming the
/// fault. Thread-safe.
absl::StatusOr<EstateNews> decodeNews(std::string_view frame, TimePoint now);

} // namespace lycheebay
