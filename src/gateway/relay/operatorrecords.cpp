#include "gateway/relay/operatorrecords.h"

#include <algorithm>
#include <set>

namespace lycheebay {

std::vector<KeyedRecord> OperatorRecordTable::apply(const OperatorRecords &update)
{
    std::vector<KeyedRecord> changed;
    std::set<std::string> updatedKeys;
    for (const KeyedRecord &it : update.records) {
        updatedKeys.insert(it.key);
        if (put(it))
            changed.push_back(it);
    }
    updatedKeys.insert(update.otherKeys.begin(), update.otherKeys.end());
    if (update.complete) {
        m_completeRevision = ++m_revision;
        for (auto &[key, entry] : m_records) {
            const KeyedRecord &record = entry.record;
            // A list of a later era may come from a copy that lacks the record.
            const bool isDeleted =
                    record.position.era == update.position.era && record.position < update.position;
            if (updatedKeys.contains(key) || !record.value || !isDeleted)
                continue;
            remove(entry);
            changed.push_back(record);
        }
    }
    m_position = std::max(m_position, update.position);
    return changed;
}

bool OperatorRecordTable::put(const KeyedRecord &record)
{
    const auto it = m_records.find(record.key);
    const KeyedRecord *known = it == m_records.end() ? nullptr : &it->second.record;
    if (wasDeleted(known, record) || (known && !replaces(*known, record)))
        return false;
    m_records[record.key] = { record, ++m_revision };
    return true;
}

bool OperatorRecordTable::replaces(const KeyedRecord &known, const KeyedRecord &record) const
{
    // Another instance has found the key missing.
    const bool isRemoved = record.position == known.position && known.value && !record.value;
    return isRemoved || m_policy.replaces(known, record);
}

bool OperatorRecordTable::wasDeleted(const KeyedRecord *known, const KeyedRecord &record) const
{
    // All keys that exist at the known position were seen in its era.
    const bool isCovered = record.position.era == m_position.era && record.position < m_position;
    return isCovered && (!known || known->position.era != record.position.era);
}

void OperatorRecordTable::remove(Entry &entry)
{
    entry.record.value.reset();
    entry.revision = ++m_revision;
}

bool OperatorRecordTable::isUnconfirmed(const KeyedRecord &record) const
{
    return record.value && record.position.era < m_position.era && m_policy.lapses(record);
}

bool OperatorRecordTable::hasUnconfirmed() const
{
    return std::any_of(m_records.begin(), m_records.end(),
                       [this](const auto &it) { return isUnconfirmed(it.second.record); });
}

std::vector<KeyedRecord> OperatorRecordTable::removeUnconfirmed()
{
    std::vector<KeyedRecord> removed;
    for (auto &[key, entry] : m_records) {
        if (!isUnconfirmed(entry.record))
            continue;
        remove(entry);
        removed.push_back(entry.record);
    }
    return removed;
}

const KeyedRecord *OperatorRecordTable::find(const std::string &key) const
{
    const auto it = m_records.find(key);
    return it == m_records.end() ? nullptr : &it->second.record;
}

OperatorRecords OperatorRecordTable::recordsSince(std::uint64_t revision) const
{
    OperatorRecords result{ m_position, revision == 0 || revision < m_completeRevision, {}, {} };
    for (const auto &[key, entry] : m_records) {
        if (entry.revision > revision)
            result.records.push_back(entry.record);
        else if (result.complete && entry.record.value)
            result.otherKeys.push_back(key);
    }
    return result;
}

} // namespace lycheebay
