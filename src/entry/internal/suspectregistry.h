#pragma once

#include "entry/entrycounters.h"
#include "entry/ipeersharing.h"
#include "outcomes/crashsuspects.h"

#include <mutex>

namespace lycheebay {

/// Thread-safe wrapper of CrashSuspects that also exchanges suspects with peers.
class SuspectRegistry
{
public:
    SuspectRegistry(const SuspectLimits &limits, const IClock &clock, IPeerSharing &sharing,
                    EntryCounters &counters);
    ~SuspectRegistry();
    SuspectRegistry(const SuspectRegistry &) = delete;
    SuspectRegistry &operator=(const SuspectRegistry &) = delete;

    Admission admit(Fingerprint fingerprint);
    void release(Fingerprint fingerprint);
    void succeed(Fingerprint fingerprint);
    void strike(Fingerprint fingerprint, const std::vector<std::string> &homeRegions,
                TimePoint attemptBegan);
    Duration refusedFor(Fingerprint fingerprint) const;
    std::size_t count() const;

private:
    const IClock &m_clock;
    IPeerSharing &m_sharing;
    EntryCounters &m_counters;
    mutable std::mutex m_mutex;
    CrashSuspects m_suspects;
};

} // namespace lycheebay
