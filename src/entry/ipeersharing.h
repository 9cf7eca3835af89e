#pragma once

#include "outcomes/crashsuspects.h"
#include "routing/routingtypes.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheebay {

/// The verdicts of a cell's dispatcher on the health of its targets.
struct CellVerdicts
{
    std::string service;
    std::string region;
    std::vector<TargetVerdict> verdicts;

    auto operator<=>(const CellVerdicts &) const = default;
};

/// Exchanges target verdicts and crash suspects with other entry instances over the peer links. All
/// methods are thread-safe and do not block.
class IPeerSharing
{
public:
    using SuspectCallback = std::function<void(const SharedSuspect &)>;

    virtual ~IPeerSharing() = default;

    /// Publishes the verdicts on a cell that this instance owns to the peers of the region,
    /// replacing earlier ones.
    virtual void publishVerdicts(const CellVerdicts &verdicts) = 0;
    /// Returns the newest verdicts that any peer published for a cell, or an empty list.
    virtual std::vector<TargetVerdict> latestVerdicts(std::string_view service,
                                                      std::string_view region) const = 0;

    /// Sends a suspect only to peers in its home regions.
    virtual void shareSuspect(const SharedSuspect &suspect) = 0;
    /// Sets the callback for suspects shared by peers; null removes it. When the call returns, the
    /// previous callback is not running and will not be called again.
    virtual void setSuspectCallback(SuspectCallback callback) = 0;
};

} // namespace lycheebay
