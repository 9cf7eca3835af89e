#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace lycheebay {

/// One record of a log in which the newest record of each key counts.
struct KeyedRecord
{
    std::string key;
    /// Null if the record drops the key.
    std::optional<std::string> value;
    /// Place in the log.
    std::uint64_t offset = 0;

    auto operator<=>(const KeyedRecord &) const = default;
};

} // namespace lycheebay
