#pragma once

#include "base/iclock.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheebay {

/// Hash of method, path, query, tenant and body, by which repeats of a request are recognized.
using Fingerprint = std::uint64_t;

struct SuspectLimits
{
    std::size_t maxSuspects = 10'000;
    /// Time for which a request is refused after its second suspected crash.
    Duration refusalPeriod = std::chrono::minutes(10);
    /// A lost connection is not counted as a crash when a target responded to the same request
    /// within this time.
    Duration responseRetention = std::chrono::seconds(10);
    /// A suspect is removed after this time without another crash, counted from the end of a
    /// refusal.
    Duration suspectRetention = std::chrono::minutes(10);
};

/// A suspect as exchanged between peers. It is sent only to peers in its home regions.
struct SharedSuspect
{
    Fingerprint fingerprint = 0;
    /// Number of suspected crashes. The request is refused from the second one on.
    int crashCount = 0;
    /// Remaining refusal time after the second crash, otherwise the time until the suspect is
    /// removed.
    Duration remaining{};
    /// Empty means all regions.
    std::vector<std::string> homeRegions;

    auto operator<=>(const SharedSuspect &) const = default;
};

/// A run whose connection was lost before the end of the response.
struct LostRun
{
    TimePoint began;
    TimePoint lostAt;

    auto operator<=>(const LostRun &) const = default;
};

enum class Admission {
    Unrestricted,   ///< not suspected
    Exclusive,      ///< suspected: admitted as the only run; release() must be called afterwards
    AlreadyRunning, ///< suspected, and a run of it is in progress: not admitted
    Refused         ///< suspected of two crashes: not admitted for a time
};

/// Tracks requests that are suspected of crashing the targets that run them (section 5.8 of
/// docs/design.md). Performs no I/O and reads no clock; not thread-safe. `now` must not decrease
/// between calls.
class CrashSuspects
{
public:
    explicit CrashSuspects(const SuspectLimits &limits = {});

    /// Decides whether a request may run now.
    Admission admit(Fingerprint fingerprint, TimePoint now);
    /// Ends a run that was admitted as Exclusive.
    void release(Fingerprint fingerprint);

    /// Records a suspected crash. A run that began before the last recorded crash is not counted,
    /// because concurrent runs are lost together when their failure domain fails. Returns the
    /// suspect to share with peers, or one with crashCount = 0 when the crash was not counted.
    /// Precondition: the run was lost at \a now or earlier.
    SharedSuspect recordCrash(Fingerprint fingerprint, const std::vector<std::string> &homeRegions,
                              const LostRun &run, TimePoint now);
    /// Records a response to the request. The request is no longer a suspect, and lost connections
    /// are not counted for the time SuspectLimits::responseRetention: a request that crashes its
    /// targets never gets a response, whereas a frequent one may lose a connection to each target
    /// of a failing failure domain.
    void recordResponse(Fingerprint fingerprint, TimePoint now);

    /// True if a target responded to the request within SuspectLimits::responseRetention.
    bool hasRespondedLately(Fingerprint fingerprint, TimePoint now) const;

    /// Merges a suspect that a peer shared. It is kept beyond its refusal like one that was
    /// recorded here.
    void mergeFromPeer(const SharedSuspect &suspect, TimePoint now);

    /// Returns the remaining refusal time, or zero when the request is not refused.
    Duration refusedFor(Fingerprint fingerprint, TimePoint now) const;
    /// True if the request is suspected of at least one crash.
    bool isSuspected(Fingerprint fingerprint, TimePoint now)
    {
        return find(fingerprint, now) != nullptr;
    }
    std::size_t count() const { return m_suspects.size(); }

private:
    struct Suspect
    {
        int crashCount = 0;
        bool running = false;
        TimePoint lastCrash;
        TimePoint refusedUntil;
        TimePoint expiry;
        std::vector<std::string> homeRegions;
    };
    using Suspects = std::unordered_map<Fingerprint, Suspect>;

    struct RecentResponse
    {
        Fingerprint fingerprint = 0;
        TimePoint at;
    };

    /// Removes expired suspects first. Returns null for a request that is not suspected.
    Suspect *find(Fingerprint fingerprint, TimePoint now);
    /// Evicts the suspect that expires first when the limit is reached.
    Suspect &insert(Fingerprint fingerprint);
    void setExpiry(Fingerprint fingerprint, Suspect &suspect, TimePoint expiry);
    void erase(Suspects::iterator it);

    const SuspectLimits m_limits;
    Suspects m_suspects;
    /// Direct-mapped cache, indexed by fingerprint; a newer entry overwrites an older one.
    std::vector<RecentResponse> m_recentResponses;
    std::multimap<TimePoint, Fingerprint> m_byExpiry;
};

} // namespace lycheebay
