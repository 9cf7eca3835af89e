#pragma once

#include "base/iclock.h"
#include "gateway/estateview.h"

#include <map>
#include <string>
#include <vector>

namespace lycheebay {

/// Decides which share of the callers of this region stay here although some of their requests may
/// only run in home regions elsewhere. Usually all of them are sent to the home regions, so that no
/// request crosses the link between regions. If the home regions have no room left, as under a
/// burst or while a failure domain is drained, part of the callers stay, and only the requests that
/// must leave are forwarded.
///
/// A shortage shows in the requests that dispatchers of the home region forward to this one. The
/// share grows in steps while they come and shrinks slowly when they cease, so that callers do not
/// all move at once, and do not move back and forth. Requests that this region has to forward
/// shrink it at once. Does no I/O. Not thread-safe. `now` must not decrease.
class RegionSpillover
{
public:
    /// Takes over the shares of another instance that decided before.
    void restore(const LocalShares &shares, TimePoint now);
    /// Adds what dispatchers of this region have counted since their last reports.
    void add(const OverflowCounts &counts, TimePoint now);
    /// Updates the shares; returns true if one has changed. Call it several times per second.
    bool update(TimePoint now);
    /// The shares by home region. Regions with a share of zero are left out.
    LocalShares shares() const;

private:
    struct State
    {
        double share = 0;
        int received = 0;
        int sent = 0;
        TimePoint lastShortage;
        TimePoint lastDecrease;
    };

    std::map<std::string, State> m_states;
    int m_placed = 0;
    TimePoint m_periodStart;
};

} // namespace lycheebay
