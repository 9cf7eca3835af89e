#include "entry/internal/suspectregistry.h"

namespace lycheebay {

SuspectRegistry::SuspectRegistry(const SuspectLimits &limits, const IClock &clock,
                                 IPeerSharing &sharing, EntryCounters &counters)
    : m_clock(clock)
    , m_sharing(sharing)
    , m_counters(counters)
    , m_suspects(limits)
{
    m_sharing.setSuspectCallback([this](const SharedSuspect &suspect) {
        const std::lock_guard lock(m_mutex);
        m_suspects.mergeFromPeer(suspect, m_clock.now());
    });
}

SuspectRegistry::~SuspectRegistry()
{
    m_sharing.setSuspectCallback(nullptr);
}

Admission SuspectRegistry::admit(Fingerprint fingerprint)
{
    const std::lock_guard lock(m_mutex);
    return m_suspects.admit(fingerprint, m_clock.now());
}

void SuspectRegistry::release(Fingerprint fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_suspects.release(fingerprint);
}

void SuspectRegistry::succeed(Fingerprint fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_suspects.recordResponse(fingerprint, m_clock.now());
}

void SuspectRegistry::strike(Fingerprint fingerprint, const std::vector<std::string> &homeRegions,
                             TimePoint attemptBegan)
{
    SharedSuspect shared;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_clock.now();
        shared = m_suspects.recordCrash(fingerprint, homeRegions, { attemptBegan, now }, now);
    }
    if (shared.crashCount == 0)
        return;
    ++m_counters.crashStrikes;
    m_sharing.shareSuspect(shared);
}

Duration SuspectRegistry::refusedFor(Fingerprint fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_suspects.refusedFor(fingerprint, m_clock.now());
}

std::size_t SuspectRegistry::count() const
{
    const std::lock_guard lock(m_mutex);
    return m_suspects.count();
}

} // namespace lycheebay
