#pragma once

#include "gateway/relay/keyedrecord.h"

#include <map>
#include <vector>

namespace lycheebay {

/// What the operator wrote, as one instance tells it to another. The gateway passes the records on
/// and leaves their meaning to the platform's adapter.
struct OperatorRecords
{
    /// Offset after the last record that is known; 0 before the first read.
    std::uint64_t position = 0;
    /// The records name every key; keys with older records that are not among them are dropped.
    bool complete = false;
    std::vector<KeyedRecord> records;

    auto operator<=>(const OperatorRecords &) const = default;
};

/// The newest record of each key. A record never gives way to an older one, in whatever order
/// records arrive, so that reads and relayed records can be mixed. Not thread-safe.
class OperatorRecordTable final
{
public:
    /// Applies records and returns those that changed something, drops of keys included.
    std::vector<KeyedRecord> apply(const OperatorRecords &update);
    /// Returns the records from offset \a since on; all of them, marked complete, from 0 on.
    OperatorRecords recordsSince(std::uint64_t since) const;
    /// Offset after the last record that is known; never goes back.
    std::uint64_t position() const { return m_position; }

private:
    bool put(const KeyedRecord &record);

    /// Dropped keys stay, as records without a value.
    std::map<std::string, KeyedRecord> m_records;
    std::uint64_t m_position = 0;
};

} // namespace lycheebay
