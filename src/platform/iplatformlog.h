#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheebay {

/// One record of an append-only stream.
struct LogRecord
{
    std::uint64_t offset = 0;
    std::string data;

    auto operator<=>(const LogRecord &) const = default;
};

/// The records of a stream in [from, next). Offsets may have gaps.
struct LogBatch
{
    /// Oldest offset that the log still holds.
    std::uint64_t first = 0;
    std::uint64_t from = 0;
    std::uint64_t next = 0;
    std::vector<LogRecord> records;

    auto operator<=>(const LogBatch &) const = default;
};

/// The platform's append-only log service.
///
/// Errors of all methods: Unavailable when the request certainly had no effect; Unknown when it may
/// have had one (the answer was lost); OutOfRange when the offset was dropped by retention.
class IPlatformLog
{
public:
    virtual ~IPlatformLog() = default;

    /// Appends a record and returns its offset. Blocks up to the implementation's timeout.
    /// Thread-safe.
    virtual absl::StatusOr<std::uint64_t> append(std::string_view stream,
                                                 std::string_view data) = 0;

    /// Reads up to \a maxRecords from offset \a from on. The data of a record that holds no text is
    /// empty. Blocks like append(). Thread-safe.
    virtual absl::StatusOr<LogBatch> read(std::string_view stream, std::uint64_t from,
                                          std::size_t maxRecords) = 0;
};

} // namespace lycheebay
