#pragma once

#include "configuration/iconfigurationfollower.h"

#include <algorithm>
#include <mutex>

namespace lycheebay {

/// Stores records in memory without applying them. Data that starts with "S" marks a snapshot.
class MemoryFollower final : public IConfigurationFollower
{
public:
    absl::Status offer(const LogBatch &batch) override
    {
        const std::lock_guard lock(m_mutex);
        const bool snapshot = !batch.records.empty() && batch.records.front().data.starts_with("S");
        if (batch.from > m_next && !snapshot)
            return absl::OutOfRangeError("gap");
        for (const LogRecord &record : batch.records) {
            if (record.offset >= m_next)
                m_records.push_back(record);
        }
        m_offered += batch.records.size();
        m_next = std::max(m_next, batch.next);
        return absl::OkStatus();
    }

    std::uint64_t nextOffset() const override
    {
        const std::lock_guard lock(m_mutex);
        return m_next;
    }

    LogBatch recordsFrom(std::uint64_t from, std::size_t maxRecords) const override
    {
        const std::lock_guard lock(m_mutex);
        LogBatch batch;
        batch.from = from;
        batch.next = from;
        for (const LogRecord &record : m_records) {
            if (record.offset < from || batch.records.size() >= maxRecords)
                continue;
            if (batch.records.empty())
                batch.from = record.data.starts_with("S") ? record.offset : from;
            batch.records.push_back(record);
            batch.next = record.offset + 1;
        }
        return batch;
    }

    /// Appends a record as if it had been read from the log.
    void append(const std::string &data)
    {
        const std::uint64_t offset = nextOffset();
        static_cast<void>(offer({ 0, offset, offset + 1, { { offset, data } } }));
    }

    /// Returns the number of records received, including duplicates.
    std::size_t offered() const
    {
        const std::lock_guard lock(m_mutex);
        return m_offered;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<LogRecord> m_records;
    std::uint64_t m_next = 0;
    std::size_t m_offered = 0;
};

} // namespace lycheebay
