#pragma once

#include "gateway/estateview.h"

#include <map>

namespace lycheebay {

/// What the instances have reported and what still holds, for the instances that link later.
/// Merging is idempotent and commutative, so that reports may arrive in any order and on several
/// ways. Does no I/O. Not thread-safe. `now` must not decrease.
class ReportHistory final
{
public:
    /// Adds the report and returns the part of it that was not known.
    Observations add(const Observations &report, TimePoint now);
    /// Returns all reports that still hold, as one.
    Observations current(TimePoint now);

private:
    /// A refusal and the time after it have different ends, so that each count has an entry.
    using SuspectKey = std::pair<Fingerprint, int>;

    struct Suspect
    {
        SharedSuspect reported;
        TimePoint expiry;
    };

    bool add(const SharedSuspect &suspect, TimePoint now);
    bool addLeaving(const std::string &target, TimePoint now);
    void removeExpired(TimePoint now);

    std::map<SuspectKey, Suspect> m_suspects;
    /// When each leaving target was reported first.
    std::map<std::string, TimePoint> m_leavingTargets;
};

} // namespace lycheebay
