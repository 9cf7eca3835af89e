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
    /// True if the records and \c otherKeys cover every key. Keys that are missing and whose last
    /// record is older than \c position are then deleted, unless that record is of an earlier era.
    bool complete = false;
    std::vector<KeyedRecord> records;
    /// Keys of further records, which the receiver has.
    std::vector<std::string> otherKeys{};

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
    /// Returns the records that changed after \a revision of this table. The result is complete if
    /// \a revision is 0, or if a complete update was applied after it: what lies between that and
    /// the records before it is not known, and another instance may have read it.
    OperatorRecords recordsSince(std::uint64_t revision) const;
    /// Number of changes so far. A deletion that was found by a missing key has no position in the
    /// log, so positions do not tell what another instance lacks.
    std::uint64_t revision() const { return m_revision; }
    /// Position after the last known record; never decreases.
    const LogPosition &position() const { return m_position; }

private:
    struct Entry
    {
        KeyedRecord record;
        /// Revision of the table in which the record changed last.
        std::uint64_t revision = 0;
    };

    void remove(Entry &entry);
    bool put(const KeyedRecord &record);
    /// Tells whether a record replaces the known one of its key.
    bool replaces(const KeyedRecord &known, const KeyedRecord &record) const;
    /// Tells whether a record was deleted before the known position, since its key was not found
    /// there. \a known is the known record of the key; null if there is none.
    bool wasDeleted(const KeyedRecord *known, const KeyedRecord &record) const;
    bool isUnconfirmed(const KeyedRecord &record) const;

    const IRecordPolicy &m_policy;

    /// Deleted keys stay in the map as records without a value.
    std::map<std::string, Entry> m_records;
    LogPosition m_position;
    std::uint64_t m_revision = 0;
    /// Revision of the last complete update.
    std::uint64_t m_completeRevision = 0;
};

} // namespace lycheebay
