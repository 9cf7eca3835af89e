#include "configuration/configurationfollower.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheebay {

namespace {

absl::Status checkOrder(const LogBatch &batch)
{
    std::uint64_t lowest = batch.from;
    for (const LogRecord &record : batch.records) {
        if (record.offset < lowest || record.offset == UINT64_MAX)
            return absl::InvalidArgumentError(
                    fmt::format("offset {} is out of order", record.offset));
        lowest = record.offset + 1;
    }
    return absl::OkStatus();
}

absl::Status gapError(std::uint64_t from, std::uint64_t next)
{
    return absl::OutOfRangeError(
            fmt::format("the batch starts at {}, the next record is {}", from, next));
}

/// Returns the snapshot that \a record holds, or null.
std::optional<SnapshotBody> snapshotIn(const LogRecord &record)
{
    if (!looksLikeSnapshot(record.data))
        return std::nullopt;
    absl::StatusOr<Change> change = decodeChange(record.data);
    if (!change.ok())
        return std::nullopt;
    auto *body = std::get_if<SnapshotBody>(&change->body);
    return body ? std::optional(std::move(*body)) : std::nullopt;
}

/// A snapshot that a peer made for a batch includes its own offset; one of the log cannot.
bool includesItself(const LogRecord &record, const SnapshotBody &body)
{
    return body.nextOffset == record.offset + 1;
}

} // namespace

ConfigurationFollower::ConfigurationFollower(Topic<ConfigurationState> &topic,
                                             std::size_t maxKeptBytes)
    : m_topic(topic)
    , m_maxKeptBytes(maxKeptBytes)
{
    if (!m_topic.read())
        m_topic.publish(makeRef<const ConfigurationState>());
    m_nextOffset = std::max(kFirstRevision, m_topic.read()->nextOffset());
    m_keptFrom = m_nextOffset;
}

absl::Status ConfigurationFollower::offer(const LogBatch &batch)
{
    if (absl::Status status = checkOrder(batch); !status.ok())
        return status;
    if (batch.records.empty())
        return absl::OkStatus();
    const std::lock_guard lock(m_applying);
    const LogRecord &first = batch.records.front();
    const std::optional<SnapshotBody> snapshot = snapshotIn(first);
    if (snapshot && includesItself(first, *snapshot)) {
        restoreLocked(*snapshot);
        return applyRecords(batch, 1);
    }
    if (batch.from > nextOffset()) {
        // Records between the snapshot's state and the snapshot would be missing.
        if (!snapshot || snapshot->nextOffset != first.offset)
            return gapError(batch.from, nextOffset());
        restoreLocked(*snapshot);
    }
    return applyRecords(batch, 0);
}

absl::Status ConfigurationFollower::offerLog(const LogBatch &batch)
{
    if (absl::Status status = checkOrder(batch); !status.ok())
        return status;
    const std::lock_guard lock(m_applying);
    if (batch.from > nextOffset())
        return gapError(batch.from, nextOffset());
    return applyRecords(batch, 0);
}

bool ConfigurationFollower::restore(const SnapshotBody &snapshot)
{
    const std::lock_guard lock(m_applying);
    return restoreLocked(snapshot);
}

bool ConfigurationFollower::restoreLocked(const SnapshotBody &snapshot)
{
    {
        const std::lock_guard lock(m_mutex);
        if (snapshot.nextOffset <= m_nextOffset)
            return false;
        m_nextOffset = snapshot.nextOffset;
        m_keptFrom = snapshot.nextOffset;
        m_kept.clear();
        m_keptBytes = 0;
    }
    m_topic.publish(ChangeApplier::restore(snapshot));
    return true;
}

absl::Status ConfigurationFollower::applyRecords(const LogBatch &batch, std::size_t skipped)
{
    const auto current = m_topic.read();
    ChangeApplier applier(*current);
    for (std::size_t i = skipped; i < batch.records.size(); ++i) {
        const LogRecord &record = batch.records[i];
        if (record.offset < std::max(kFirstRevision, applier.nextOffset()))
            continue;
        applier.apply(record);
        keep(record);
    }
    if (applier.nextOffset() == current->nextOffset())
        return absl::OkStatus();
    m_topic.publish(applier.state());
    const std::lock_guard lock(m_mutex);
    m_nextOffset = applier.nextOffset();
    return absl::OkStatus();
}

void ConfigurationFollower::keep(const LogRecord &record)
{
    const std::lock_guard lock(m_mutex);
    m_kept.push_back(record);
    m_keptBytes += record.data.size();
    while (m_keptBytes > m_maxKeptBytes) {
        m_keptFrom = m_kept.front().offset + 1;
        m_keptBytes -= m_kept.front().data.size();
        m_kept.pop_front();
    }
}

std::uint64_t ConfigurationFollower::nextOffset() const
{
    const std::lock_guard lock(m_mutex);
    return m_nextOffset;
}

LogBatch ConfigurationFollower::recordsFrom(std::uint64_t from, std::size_t maxRecords) const
{
    LogBatch batch;
    {
        const std::lock_guard lock(m_mutex);
        batch.first = m_keptFrom;
        batch.from = std::min(from, m_nextOffset);
        batch.next = batch.from;
        auto it = std::lower_bound(m_kept.begin(), m_kept.end(), from,
                                   [](const LogRecord &record, std::uint64_t offset) {
                                       return record.offset < offset;
                                   });
        // A malformed snapshot of the log must not pass for one that this instance made.
        const auto forged = [](const LogRecord &record) {
            const auto snapshot = snapshotIn(record);
            return snapshot && includesItself(record, *snapshot);
        };
        if (from >= m_keptFrom && (it == m_kept.end() || !forged(*it))) {
            std::size_t n = 0;
            while (it != m_kept.end() && it->offset < m_nextOffset
                   && batch.records.size() < maxRecords
                   && (n == 0 || n + it->data.size() <= kMaxBatchBytes)) {
                n += it->data.size();
                batch.next = it->offset + 1;
                batch.records.push_back(*it++);
            }
            return batch;
        }
    }
    const auto state = m_topic.read();
    if (state->nextOffset() <= from)
        return batch;
    Change change;
    change.id = fmt::format("snapshot-{}", state->nextOffset());
    change.author = "peer";
    change.time = state->history().snapshotTime;
    change.body = ChangeApplier::snapshotOf(*state);
    const auto record = encodeChange(change);
    if (!record.ok())
        return batch;
    batch.from = state->nextOffset() - 1;
    batch.next = state->nextOffset();
    batch.records = { { batch.from, *record } };
    return batch;
}

} // namespace lycheebay
