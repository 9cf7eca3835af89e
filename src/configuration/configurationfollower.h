#pragma once

#include "blackboard/topic.h"
#include "configuration/changeapplier.h"
#include "configuration/iconfigurationfollower.h"

#include <deque>
#include <mutex>

namespace lycheebay {

/// Follows the configuration stream and publishes each new state. It never goes back: records that
/// it already applied change nothing.
class ConfigurationFollower final : public IConfigurationFollower
{
public:
    /// Recent records kept for peers.
    static constexpr std::size_t kMaxKeptBytes = std::size_t(4) << 20;
    /// Limit of one batch for peers, so that it fits into a frame of 1 MiB; a single record or
    /// snapshot may exceed it.
    static constexpr std::size_t kMaxBatchBytes = std::size_t(512) << 10;

    /// Publishes the empty state when \a topic has none. \a topic outlives the follower, and
    /// nothing else publishes to it. Its listeners must not call offer() or pollOnce().
    explicit ConfigurationFollower(Topic<ConfigurationState> &topic,
                                   std::size_t maxKeptBytes = kMaxKeptBytes);

    /// Takes a batch that a peer made with recordsFrom(). A snapshot at its start that includes its
    /// own offset, as only a peer's does, replaces the state if it is newer.
    absl::Status offer(const LogBatch &batch) override;

    /// Takes a batch read from the log, in which every snapshot is an ordinary record. Errors as
    /// offer(). Thread-safe.
    absl::Status offerLog(const LogBatch &batch);

    /// Replaces the state by a snapshot's when that is newer; returns whether it did. Thread-safe.
    bool restore(const SnapshotBody &snapshot);

    std::uint64_t nextOffset() const override;
    LogBatch recordsFrom(std::uint64_t from, std::size_t maxRecords) const override;

    /// Returns the newest state; never null. Thread-safe.
    IntrusivePtr<const ConfigurationState> state() const { return m_topic.read(); }

private:
    absl::Status applyRecords(const LogBatch &batch, std::size_t skipped);
    bool restoreLocked(const SnapshotBody &snapshot);
    void keep(const LogRecord &record);

    Topic<ConfigurationState> &m_topic;
    const std::size_t m_maxKeptBytes;
    /// Serializes the changes of state; held while listeners run.
    std::mutex m_applying;
    /// Guards the members below.
    mutable std::mutex m_mutex;
    std::uint64_t m_nextOffset = 0;
    /// Every record from here on is in m_kept.
    std::uint64_t m_keptFrom = 0;
    std::deque<LogRecord> m_kept;
    std::size_t m_keptBytes = 0;
};

} // namespace lycheebay
