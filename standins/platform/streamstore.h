#pragma once

#include "platform/iplatformlog.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lycheebay::standins {

/// Append-only streams in memory; offsets start at 1 and have no gaps. Not thread-safe.
class StreamStore
{
public:
    std::uint64_t append(const std::string &stream, std::string data);
    /// Errors: OutOfRange when \a from is older than the first kept record.
    absl::StatusOr<LogBatch> read(const std::string &stream, std::uint64_t from,
                                  std::size_t maxRecords) const;
    /// Keeps the newest \a records of each stream; 0 keeps all.
    void setRetention(std::size_t records);
    std::uint64_t first(const std::string &stream) const;

private:
    struct Stream
    {
        std::uint64_t first = 1;
        std::deque<std::string> records;
    };

    void trim(Stream &stream) const;

    std::map<std::string, Stream> m_streams;
    std::size_t m_retention = 0;
};

} // namespace lycheebay::standins
