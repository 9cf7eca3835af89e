#pragma once

#include "gateway/relay/keyedrecord.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>

namespace lycheebay {

/// The value of a record as it is sent to other instances.
struct CompressedValue
{
    std::string bytes;
    /// Size of the original value if the bytes are compressed with zlib, 0 if they are not.
    std::size_t uncompressedSize = 0;

    auto operator<=>(const CompressedValue &) const = default;
};

/// Compresses the values of records and caches the newest result for each key, so that a value is
/// compressed once for all links. Configurations are repetitive; uncompressed, one with many routes
/// would saturate the link between two regions for seconds.
/// Not thread-safe.
class RecordCompressor final
{
public:
    /// The reference is valid until the next call. Precondition: \a record has a value.
    const CompressedValue &compress(const KeyedRecord &record);

private:
    struct Entry
    {
        LogPosition position;
        CompressedValue value;
    };
    std::map<std::string, Entry> m_newest;
};

/// Returns the original value; \a uncompressedSize is that of CompressedValue. Errors:
/// InvalidArgument if the bytes cannot be decompressed to that size, or if the size is too large.
/// Thread-safe.
absl::StatusOr<std::string> decompressValue(std::string_view bytes, std::size_t uncompressedSize);

} // namespace lycheebay
