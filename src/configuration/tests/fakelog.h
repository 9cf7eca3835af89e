#pragma once

#include "configuration/change.h"
#include "platform/iplatformlog.h"
#include "platform/logstatus.h"

#include <deque>
#include <functional>

namespace lycheebay {

/// A log in memory with faults on demand.
class FakeLog final : public IPlatformLog
{
public:
    /// Fate of the next append: called before it; returns an error to report. `tookEffect` tells
    /// whether the record is appended nevertheless.
    struct AppendFault
    {
        absl::Status status;
        bool tookEffect = false;
    };

    absl::StatusOr<std::uint64_t> append(std::string_view, std::string_view data) override
    {
        ++appends;
        AppendFault fault;
        if (!appendFaults.empty()) {
            fault = appendFaults.front();
            appendFaults.pop_front();
        }
        if (!fault.status.ok() && !fault.tookEffect)
            return fault.status;
        records.push_back({ next++, std::string(data) });
        if (!fault.status.ok())
            return fault.status;
        return records.back().offset;
    }

    absl::StatusOr<LogBatch> read(std::string_view, std::uint64_t from,
                                  std::size_t maxRecords) override
    {
        if (!readStatus.ok())
            return readStatus;
        if (from < first)
            return tellsFirst ? offsetDropped(first) : absl::OutOfRangeError("dropped");
        LogBatch batch{ first, from, from, {} };
        for (const LogRecord &record : records) {
            if (record.offset >= from && batch.records.size() < maxRecords)
                batch.records.push_back(record);
        }
        if (!batch.records.empty())
            batch.next = batch.records.back().offset + 1;
        return batch;
    }

    void dropBefore(std::uint64_t offset)
    {
        while (!records.empty() && records.front().offset < offset)
            records.erase(records.begin());
        first = offset;
    }

    std::uint64_t first = 1;
    std::uint64_t next = 1;
    std::vector<LogRecord> records;
    std::deque<AppendFault> appendFaults;
    absl::Status readStatus;
    bool tellsFirst = true;
    int appends = 0;
};

inline EstateData sampleEstate()
{
    EstateData data;
    data.regions = { "sof", "plv" };
    data.failureDomains = { { "sof-a", "sof" }, { "plv-a", "plv" } };
    data.services = { "katalog" };
    data.targets = { { "kat-1", "katalog", "sof-a", { "127.0.0.1", 9000 }, 3, 1, 250, false },
                     { "kat-2", "katalog", "plv-a", { "127.0.0.1", 9001 }, 3, 1, 250, false } };
    data.routes = { { "katalog", "*", "/", true, 1, { "sof" } } };
    return data;
}

inline PlannedStop sampleStop(const std::string &id)
{
    const WallTime start(std::chrono::milliseconds(1'700'000'000'000));
    return { id, StopScope::Target, "kat-1", start, start + std::chrono::hours(1) };
}

inline RosterMember sampleMember(const std::string &id, std::uint64_t incarnation)
{
    return { id, incarnation, "sof", "sof-a", { "127.0.0.1", 80 }, { "127.0.0.1", 81 }, 0 };
}

inline Change makeChange(const std::string &id, Revision base, ChangeBody body)
{
    return { id, "planner", WallTime(std::chrono::milliseconds(1'700'000'000'000)), base,
             std::move(body) };
}

} // namespace lycheebay
