#pragma once

#include "gateway/estateview.h"

#include <map>

namespace lycheebay {

/// What the instances of a region have reported lately, for an instance that links later. Does no
/// I/O. Not thread-safe. `now` must not decrease.
class ReportHistory final
{
public:
    void add(const Observations &report, TimePoint now);
    /// Returns all reports that still hold, as one.
    Observations current(TimePoint now);

private:
    struct Suspect
    {
        SharedSuspect reported;
        TimePoint expiry;
    };

    void removeExpired(TimePoint now);

    std::map<Fingerprint, Suspect> m_suspects;
    /// When each leaving target was reported last.
    std::map<std::string, TimePoint> m_leavingTargets;
};

} // namespace lycheebay
