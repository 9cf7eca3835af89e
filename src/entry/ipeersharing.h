#pragma once

#include "outcomes/crashsuspects.h"
#include "routing/routingtypes.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheebay {

/// What the dispatcher of a cell concluded about its targets.
struct CellVerdicts
{
    std::string service;
    std::string region;
    std::vector<TargetVerdict> verdicts;

    auto operator<=>(const CellVerdicts &) const = default;
};

/// What the request path shares with other entry instances over the peer links. All methods are
/// thread-safe and do not block.
class IPeerSharing
{
public:
    using VerdictsReceiver = std::function<void(const CellVerdicts &)>;
    using SuspectCallback = std::function<void(const SharedSuspect &)>;

    virtual ~IPeerSharing() = default;

    /// Replaces what peers of the region know of a cell that this instance owns.
    virtual void publishVerdicts(const CellVerdicts &verdicts) = 0;
    /// Returns the newest verdicts that any peer published for a cell; empty when there are none.
    virtual std::vector<TargetVerdict> latestVerdicts(std::string_view service,
                                                      std::string_view region) const = 0;

    /// Tells the peers of the suspect's home regions, and no others.
    virtual void shareSuspect(const SharedSuspect &suspect) = 0;
    /// Sets who is told of suspects that peers share; null ends it. When the call returns, the
    /// former receiver is not running and will not be called again.
    virtual void setSuspectCallback(SuspectCallback receiver) = 0;
};

} // namespace lycheebay
