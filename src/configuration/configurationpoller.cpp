#include "configuration/configurationpoller.h"

#include "platform/logstatus.h"

namespace lycheebay {

namespace {

constexpr std::size_t kRecordsPerRead = 256;
constexpr int kMaxReadsPerPoll = 64;
// The search reads the whole retained log: some days of several thousand changes.
constexpr int kMaxReadsPerSearch = 4096;

absl::StatusOr<LogBatch> readBatch(IPlatformLog &log, std::uint64_t from)
{
    absl::StatusOr<LogBatch> batch = log.read(kConfigurationStream, from, kRecordsPerRead);
    // Several large records together may exceed what the client takes; one alone does not.
    if (absl::IsResourceExhausted(batch.status()))
        batch = log.read(kConfigurationStream, from, 1);
    if (batch.ok() && batch->first > from)
        return offsetDropped(batch->first);
    return batch;
}

/// Finds the oldest offset of the log. The error names it, unless it comes from a log that does not
/// say; then reads ahead by doubling steps until one succeeds.
absl::StatusOr<std::uint64_t> findFirstOffset(IPlatformLog &log, std::uint64_t from,
                                              const absl::Status &error)
{
    if (const auto first = firstOffsetOf(error))
        return *first;
    for (std::uint64_t step = 1; step < (std::uint64_t(1) << 62); step *= 2) {
        const auto batch = log.read(kConfigurationStream, from + step, 1);
        if (batch.ok())
            return batch->first;
        if (!absl::IsOutOfRange(batch.status()))
            return batch.status();
    }
    return absl::DataLossError("the log holds no readable offset");
}

/// Restores the newest snapshot. Precondition: the log dropped the follower's next record.
absl::Status restoreFromLog(IPlatformLog &log, ConfigurationFollower &follower, std::uint64_t first)
{
    SnapshotFinder finder;
    std::uint64_t from = first;
    for (int i = 0; i < kMaxReadsPerSearch; ++i) {
        const absl::StatusOr<LogBatch> batch = readBatch(log, from);
        if (!batch.ok())
            return batch.status();
        finder.inspect(*batch);
        if (batch->records.empty())
            break;
        from = batch->records.back().offset + 1;
    }
    const std::optional<SnapshotBody> snapshot = finder.newest(first);
    if (!snapshot || !follower.restore(*snapshot))
        return absl::DataLossError("records were dropped and the log holds no newer snapshot");
    return absl::OkStatus();
}

} // namespace

void SnapshotFinder::inspect(const LogBatch &batch)
{
    for (const LogRecord &record : batch.records) {
        if (!looksLikeSnapshot(record.data))
            continue;
        absl::StatusOr<Change> change = decodeChange(record.data);
        if (!change.ok())
            continue;
        auto *body = std::get_if<SnapshotBody>(&change->body);
        if (!body || body->nextOffset > record.offset)
            continue;
        if (!m_newest || body->nextOffset >= m_newest->nextOffset)
            m_newest = std::move(*body);
    }
}

std::optional<SnapshotBody> SnapshotFinder::newest(std::uint64_t first) const
{
    return m_newest && m_newest->nextOffset >= first ? m_newest : std::nullopt;
}

absl::StatusOr<PollResult> pollOnce(IPlatformLog &log, ConfigurationFollower &follower)
{
    PollResult result;
    bool restored = false;
    for (int i = 0; i < kMaxReadsPerPoll; ++i) {
        const std::uint64_t from = follower.nextOffset();
        absl::StatusOr<LogBatch> batch = readBatch(log, from);
        if (absl::IsOutOfRange(batch.status()) && !restored) {
            const auto first = findFirstOffset(log, from, batch.status());
            if (!first.ok())
                return first.status();
            if (absl::Status status = restoreFromLog(log, follower, *first); !status.ok())
                return status;
            restored = true;
            continue;
        }
        if (!batch.ok())
            return batch.status();
        if (absl::Status status = follower.offerLog(*batch); !status.ok())
            return status;
        result.records += batch->records.size();
        if (batch->records.empty()) {
            result.caughtUp = true;
            break;
        }
    }
    return result;
}

} // namespace lycheebay
