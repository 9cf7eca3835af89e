#pragma once

#include "gateway/relay/logposition.h"

#include <string>

namespace lycheebay {

/// A record of a log in which the newest record of a key replaces all earlier ones.
struct KeyedRecord
{
    std::string key;
    /// Null if the record deletes the key.
    std::optional<std::string> value;
    /// Position of the record in the log.
    LogPosition position{};

    auto operator<=>(const KeyedRecord &) const = default;
};

} // namespace lycheebay
