#pragma once

#include "base/iclock.h"
#include "configuration/iconfigurationlease.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>

namespace lycheebay {

/// What an instance does while its configuration view is not attested.
enum class WhenUnattested { Refuse, Serve };

struct LeaseSettings
{
    /// Whether this instance is in the region of the platform's log.
    bool inStoreRegion = false;
    WhenUnattested whenUnattested = WhenUnattested::Refuse;
    /// How long an attestation holds. The handover wait of 3 s is derived from it.
    Duration duration = std::chrono::milliseconds(2500);
};

/// Derives the lease from evidence that this instance's configuration view was current.
///
/// Every piece of evidence is reduced to a lower bound, on this instance's own clock, of the time
/// at which it was produced. The bound never grows when it is relayed, so instances that echo an
/// attestation to each other cannot keep it alive. Inputs are thread-safe; tick() has to be called
/// at least every 500 ms, because a longer silence of all inputs counts as a pause.
class ConfigurationLease final : public IConfigurationLease
{
public:
    ConfigurationLease(LeaseSettings settings, TimePoint now);

    bool isValid(TimePoint now) const override;
    /// Like isValid(), whatever the setting for unattested service. Wait-free and thread-safe.
    bool isAttested(TimePoint now) const;
    /// Age of the attestation to relay; empty when it has expired. Thread-safe.
    std::optional<Duration> attestationAge(TimePoint now) const;

    /// A read of the log that began at \a readStart returned everything before \a nextOffset.
    /// Call it after the records were applied. Thread-safe.
    void readSucceeded(TimePoint readStart, std::uint64_t nextOffset, TimePoint now);
    /// A read of the log that began at \a readStart found the store down. Thread-safe.
    void readFailed(TimePoint readStart, TimePoint now);
    /// A neighbour's view up to \a nextOffset was current at \a producedAt. Thread-safe.
    void attestationRelayed(TimePoint producedAt, std::uint64_t nextOffset, TimePoint now);
    /// A peer of the own region, which holds records up to \a nextOffset, sent at \a sentAt or
    /// later. Thread-safe.
    void regionPeerHeard(TimePoint sentAt, std::uint64_t nextOffset, TimePoint now);
    /// Tells whether the roster names no other instance of the own region. Thread-safe.
    void setAloneInRoster(bool alone, TimePoint now);
    /// Offset up to which this instance has applied the log. Thread-safe.
    void setOwnOffset(std::uint64_t nextOffset, TimePoint now);
    /// Renews the lease from the evidence at hand and notices pauses. Thread-safe.
    void tick(TimePoint now);

private:
    struct Evidence
    {
        TimePoint producedAt;
        std::uint64_t nextOffset = 0;
    };

    void noteInput(TimePoint now);
    void accept(const Evidence &evidence);
    void renewWhileStoreIsDown(TimePoint now);

    const LeaseSettings m_settings;
    std::atomic<Duration::rep> m_validUntil;

    std::mutex m_mutex;
    TimePoint m_lastInput;
    /// Evidence that was produced earlier is void: the process was paused after it.
    TimePoint m_evidenceFloor;
    std::uint64_t m_ownOffset = 0;
    /// Newest evidence that covers records this instance still lacks.
    std::optional<Evidence> m_pending;
    std::optional<TimePoint> m_failedReadStart;
    TimePoint m_failedReadEnd;
    std::optional<TimePoint> m_regionPeerSentAt;
    std::uint64_t m_regionPeerOffset = 0;
    bool m_aloneInRoster = false;
};

} // namespace lycheebay
