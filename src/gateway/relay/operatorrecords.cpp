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
    if (update.complete) {
        for (auto &[key, record] : m_records) {
            // A list of a later era may come from a copy that lacks the record.
            const bool isDeleted =
                    record.position.era == update.position.era && record.position < update.position;
            if (updatedKeys.contains(key) || !record.value || !isDeleted)
                continue;
            record.value.reset();
            changed.push_back(record);
        }
    }
    m_position = std::max(m_position, update.position);
    return changed;
}

bool OperatorRecordTable::put(const KeyedRecord &record)
{
    const auto existing = m_records.find(record.key);
    if (existing == m_records.end()) {
        m_records.emplace(record.key, record);
        return true;
    }
    if (!m_policy.replaces(existing->second, record))
        return false;
    existing->second = record;
    return true;
}

bool OperatorRecordTable::isUnconfirmed(const KeyedRecord &record) const
{
    return record.value && record.position.era < m_position.era && m_policy.lapses(record);
}

bool OperatorRecordTable::hasUnconfirmed() const
{
    return std::any_of(m_records.begin(), m_records.end(),
                       [this](const auto &it) { return isUnconfirmed(it.second); });
}

std::vector<KeyedRecord> OperatorRecordTable::removeUnconfirmed()
{
    std::vector<KeyedRecord> removed;
    for (auto &[key, record] : m_records) {
        if (!isUnconfirmed(record))
            continue;
        record.value.reset();
        removed.push_back(record);
    }
    return removed;
}

const KeyedRecord *OperatorRecordTable::find(const std::string &key) const
{
    const auto it = m_records.find(key);
    return it == m_records.end() ? nullptr : &it->second;
}

OperatorRecords OperatorRecordTable::recordsSince(const LogPosition &since) const
{
    OperatorRecords result{ m_position, since == LogPosition(), {} };
    for (const auto &[key, record] : m_records) {
        if (record.position >= since)
            result.records.push_back(record);
    }
    return result;
}

} // namespace lycheebay
