#pragma once

#include "gateway/relay/keyedrecord.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>

namespace lycheebay {

/// The value of a record as it goes on the wire.
struct PackedValue
{
    std::string bytes;
    /// Size of the value if the bytes are compressed with zlib, else 0.
    std::size_t inflatedBytes = 0;

    auto operator<=>(const PackedValue &) const = default;
};

/// Compresses the values of records, each of them once for all links. Configurations repeat
/// themselves, and one with many routes would else fill the link between two regions for seconds.
/// Not thread-safe.
class RecordCompressor final
{
public:
    /// The result is valid until the next call. Precondition: \a record has a value.
    const PackedValue &pack(const KeyedRecord &record);

private:
    struct Entry
    {
        std::uint64_t offset = 0;
        PackedValue value;
    };
    std::map<std::string, Entry> m_newest;
};

/// Returns the value that was packed. Errors: InvalidArgument for bytes that are no packed value.
/// Thread-safe.
absl::StatusOr<std::string> unpackValue(std::string_view bytes, std::size_t inflatedBytes);

} // namespace lycheebay
