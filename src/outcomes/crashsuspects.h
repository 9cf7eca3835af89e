#pragma once

#include "base/iclock.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheebay {

/// Identifies requests that are the same in method, path, query, tenant and body.
using Fingerprint = std::uint64_t;

struct SuspectLimits
{
    std::size_t maxSuspects = 10'000;
    Duration refusal = std::chrono::minutes(10);
    /// A request that was answered within this time is not blamed for a lost connection.
    Duration successMemory = std::chrono::seconds(10);
    /// A suspect without another crash is forgotten after this time.
    Duration memory = std::chrono::minutes(10);
};

/// A suspect as peers share it. It goes only to peers of its home regions.
struct SharedSuspect
{
    Fingerprint fingerprint = 0;
    /// Crashes counted; the request is refused from the second one on.
    int strikes = 0;
    /// Remaining time for which the suspect is refused or remembered.
    Duration remaining{};
    /// Empty means all regions.
    std::vector<std::string> homeRegions;

    auto operator<=>(const SharedSuspect &) const = default;
};

enum class Admission {
    Free,  ///< not suspected
    Alone, ///< suspected: admitted as the only run; release() must follow
    Busy,  ///< suspected, and another run of it is in progress
    Refused
};

/// Requests that may crash the target that runs them (design 5.8).
/// Pure and not thread-safe. `now` never goes backwards.
class CrashSuspects
{
public:
    explicit CrashSuspects(const SuspectLimits &limits = {});

    Admission admit(Fingerprint fingerprint, TimePoint now);
    /// Ends a run that was admitted as Alone.
    void release(Fingerprint fingerprint);

    /// Records a connection lost before any byte of the response. An attempt that began before the
    /// last strike is not counted again: runs side by side are lost together when their failure
    /// domain fails. Returns the suspect for sharing when something changed, else strikes = 0.
    SharedSuspect strike(Fingerprint fingerprint, const std::vector<std::string> &homeRegions,
                         TimePoint attemptBegan, TimePoint now);
    /// Records a response to the request, which clears it and protects it for a while: a request
    /// that crashes its targets is never answered, but a popular one may lose a connection to each
    /// target of a failure domain that fails.
    void succeed(Fingerprint fingerprint, TimePoint now);

    /// Takes over a peer's suspect.
    void adopt(const SharedSuspect &suspect, TimePoint now);

    Duration refusedFor(Fingerprint fingerprint, TimePoint now) const;
    std::size_t count() const { return m_suspects.size(); }

private:
    struct Suspect
    {
        int strikes = 0;
        bool running = false;
        TimePoint lastStrike;
        TimePoint refusedUntil;
        TimePoint expiry;
        std::vector<std::string> homeRegions;
    };
    using Suspects = std::unordered_map<Fingerprint, Suspect>;

    struct Success
    {
        Fingerprint fingerprint = 0;
        TimePoint at;
    };

    bool succeededLately(Fingerprint fingerprint, TimePoint now) const;
    Suspect *find(Fingerprint fingerprint, TimePoint now);
    Suspect &insert(Fingerprint fingerprint);
    void setExpiry(Fingerprint fingerprint, Suspect &suspect, TimePoint expiry);
    void erase(Suspects::iterator it);

    const SuspectLimits m_limits;
    Suspects m_suspects;
    /// Recent successes by fingerprint; a newer one takes the place of an older one.
    std::vector<Success> m_successes;
    std::multimap<TimePoint, Fingerprint> m_byExpiry;
};

} // namespace lycheebay
