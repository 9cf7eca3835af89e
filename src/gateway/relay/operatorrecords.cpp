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
            if (updatedKeys.contains(key) || !record.value || record.offset >= update.position)
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
    if (record.offset <= existing->second.offset)
        return false;
    existing->second = record;
    return true;
}

const KeyedRecord *OperatorRecordTable::find(const std::string &key) const
{
    const auto it = m_records.find(key);
    return it == m_records.end() ? nullptr : &it->second;
}

OperatorRecords OperatorRecordTable::recordsSince(std::uint64_t since) const
{
    OperatorRecords result{ m_position, since == 0, {} };
    for (const auto &[key, record] : m_records) {
        if (record.offset >= since)
            result.records.push_back(record);
    }
    return result;
}

} // namespace lycheebay
