#include "configuration/configurationlease.h"

#include <algorithm>

namespace lycheebay {

namespace {

// Inputs arrive every 100 ms; one second without any means that the process did not run.
constexpr Duration kPauseGap = std::chrono::seconds(1);
// A failed read is repeated within its timeout; without a repetition for this long the poller
// has stopped and the store's state is unknown.
constexpr Duration kStoreDownMemory = std::chrono::seconds(10);

} // namespace

ConfigurationLease::ConfigurationLease(LeaseSettings settings, TimePoint now)
    : m_settings(settings)
    , m_validUntil(now.time_since_epoch().count())
    , m_lastInput(now)
    , m_evidenceFloor(now)
{}

bool ConfigurationLease::isValid(TimePoint now) const
{
    return m_settings.whenUnattested == WhenUnattested::Serve || isAttested(now);
}

bool ConfigurationLease::isAttested(TimePoint now) const
{
    return now.time_since_epoch().count() < m_validUntil.load(std::memory_order_acquire);
}

std::optional<Duration> ConfigurationLease::attestationAge(TimePoint now) const
{
    const TimePoint validUntil{ Duration(m_validUntil.load(std::memory_order_acquire)) };
    if (now >= validUntil)
        return std::nullopt;
    return std::max(Duration::zero(), now - (validUntil - m_settings.duration));
}

void ConfigurationLease::readSucceeded(TimePoint readStart, std::uint64_t nextOffset, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    noteInput(now);
    m_failedReadStart.reset();
    accept({ readStart, nextOffset });
}

void ConfigurationLease::readFailed(TimePoint readStart, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    noteInput(now);
    if (readStart < m_evidenceFloor)
        return;
    m_failedReadStart = readStart;
    m_failedReadEnd = now;
    renewWhileStoreIsDown(now);
}

void ConfigurationLease::attestationRelayed(TimePoint producedAt, std::uint64_t nextOffset,
                                            TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    noteInput(now);
    // A neighbour cannot have produced evidence in the future; a wrong age must not extend the
    // lease.
    accept({ std::min(producedAt, now), nextOffset });
}

void ConfigurationLease::regionPeerHeard(TimePoint sentAt, std::uint64_t nextOffset, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    noteInput(now);
    const TimePoint bounded = std::min(sentAt, now);
    if (!m_regionPeerSentAt || *m_regionPeerSentAt < bounded)
        m_regionPeerSentAt = bounded;
    m_regionPeerOffset = std::max(m_regionPeerOffset, nextOffset);
    renewWhileStoreIsDown(now);
}

void ConfigurationLease::setAloneInRoster(bool alone, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    noteInput(now);
    m_aloneInRoster = alone;
}

void ConfigurationLease::setOwnOffset(std::uint64_t nextOffset, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    noteInput(now);
    m_ownOffset = nextOffset;
    if (!m_pending || m_pending->nextOffset > m_ownOffset)
        return;
    accept(*m_pending);
    m_pending.reset();
}

void ConfigurationLease::tick(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    noteInput(now);
    renewWhileStoreIsDown(now);
}

void ConfigurationLease::noteInput(TimePoint now)
{
    // Frames and answers that were waiting in socket buffers during a pause are handled right
    // after it; whatever they prove was true before the process ran again.
    if (now - m_lastInput > kPauseGap) {
        m_evidenceFloor = now;
        m_pending.reset();
        m_failedReadStart.reset();
        m_regionPeerSentAt.reset();
    }
    m_lastInput = std::max(m_lastInput, now);
}

void ConfigurationLease::accept(const Evidence &evidence)
{
    if (evidence.producedAt < m_evidenceFloor)
        return;
    if (evidence.nextOffset > m_ownOffset) {
        if (!m_pending || m_pending->producedAt < evidence.producedAt)
            m_pending = evidence;
        return;
    }
    const TimePoint validUntil = evidence.producedAt + m_settings.duration;
    const Duration::rep ticks = validUntil.time_since_epoch().count();
    if (ticks > m_validUntil.load(std::memory_order_relaxed))
        m_validUntil.store(ticks, std::memory_order_release);
}

void ConfigurationLease::renewWhileStoreIsDown(TimePoint now)
{
    if (!m_settings.inStoreRegion || !m_failedReadStart)
        return;
    if (now - m_failedReadEnd > kStoreDownMemory)
        return;
    if (m_aloneInRoster) {
        accept({ now, m_ownOffset });
        return;
    }
    if (m_regionPeerSentAt)
        accept({ *m_regionPeerSentAt, m_regionPeerOffset });
}

} // namespace lycheebay
