#pragma once

#include "gateway/relay/irecordpolicy.h"

#include <map>
#include <vector>

namespace lycheebay {

/// Records that the operator wrote to the platform, in the form in which instances exchange them.
/// The gateway forwards the records without interpreting them; the platform's adapter does that.
struct OperatorRecords
{
    /// Position after the last known record; the lowest one before the first read.
    LogPosition position;
    /// True if the records cover every key. Keys that are missing and whose last record is older
    /// than \c position are then deleted, unless that record is of an earlier era.
    bool complete = false;
    std::vector<KeyedRecord> records;

    auto operator<=>(const OperatorRecords &) const = default;
};

/// Holds the newest record of each key. A policy tells which one that is, so records that were read
/// from the platform and records received from the reader can be applied in any order. Records of
/// earlier eras hold until they are written again, or until removeUnconfirmed(). Not thread-safe.
class OperatorRecordTable final
{
public:
    /// Precondition: \a policy outlives the table.
    explicit OperatorRecordTable(const IRecordPolicy &policy)
        : m_policy(policy)
    {}

    /// Applies records and returns those that changed the table, including deletions of keys.
    std::vector<KeyedRecord> apply(const OperatorRecords &update);
    /// True if a record of an earlier era holds that lapses unless it is written again.
    bool hasUnconfirmed() const;
    /// Deletes those records and returns them, without their values.
    std::vector<KeyedRecord> removeUnconfirmed();
    /// Returns the newest known record of a key, also a deletion; null if there is none.
    const KeyedRecord *find(const std::string &key) const;
    /// Returns the records from position \a since on. The result is complete if \a since is the
    /// lowest position.
    OperatorRecords recordsSince(const LogPosition &since) const;
    /// Position after the last known record; never decreases.
    const LogPosition &position() const { return m_position; }

private:
    bool put(const KeyedRecord &record);
    bool isUnconfirmed(const KeyedRecord &record) const;

    const IRecordPolicy &m_policy;

    /// Deleted keys stay in the map as records without a value.
    std::map<std::string, KeyedRecord> m_records;
    LogPosition m_position;
};

} // namespace lycheebay
