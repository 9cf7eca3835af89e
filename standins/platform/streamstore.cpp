#include "standins/platform/streamstore.h"

#include <algorithm>

namespace lycheebay::standins {

std::uint64_t StreamStore::append(const std::string &stream, std::string data)
{
    Stream &it = m_streams[stream];
    it.records.push_back(std::move(data));
    const std::uint64_t offset = it.first + it.records.size() - 1;
    trim(it);
    return offset;
}

absl::StatusOr<LogBatch> StreamStore::read(const std::string &stream, std::uint64_t from,
                                           std::size_t maxRecords) const
{
    static const Stream kEmpty;
    const auto found = m_streams.find(stream);
    const Stream &it = found == m_streams.end() ? kEmpty : found->second;
    if (from < it.first && it.first > 1)
        return absl::OutOfRangeError("offset dropped by retention");

    LogBatch batch;
    batch.first = it.first;
    batch.from = std::max<std::uint64_t>(from, 1);
    const std::uint64_t end = it.first + it.records.size();
    batch.next = std::min<std::uint64_t>(end, batch.from);
    while (batch.next < end && batch.records.size() < maxRecords) {
        batch.records.push_back({ batch.next, it.records[batch.next - it.first] });
        ++batch.next;
    }
    return batch;
}

void StreamStore::setRetention(std::size_t records)
{
    m_retention = records;
    for (auto &[name, stream] : m_streams)
        trim(stream);
}

std::uint64_t StreamStore::first(const std::string &stream) const
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? 1 : found->second.first;
}

void StreamStore::trim(Stream &stream) const
{
    while (m_retention > 0 && stream.records.size() > m_retention) {
        stream.records.pop_front();
        ++stream.first;
    }
}

} // namespace lycheebay::standins
