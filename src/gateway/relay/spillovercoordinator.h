#pragma once

#include "base/itimerservice.h"
#include "gateway/gatewayblackboard.h"
#include "gateway/regionspillover.h"

#include <log4cplus/logger.h>

#include <functional>

namespace lycheebay {

/// Connects RegionSpillover with the instances of a region. Each instance counts the requests that
/// dispatchers forward for lack of room and reports them to the reader of its region; the reader
/// decides the shares and sends them to all with its updates. Not thread-safe: use it on the event
/// loop.
class SpilloverCoordinator final
{
public:
    struct Callbacks
    {
        /// Sends counts to the reader.
        std::function<void(const OverflowCounts &)> sendToReader;
        /// Sends the shares of the blackboard to the followers.
        std::function<void()> sendToFollowers;
    };

    /// Precondition: the references outlive the coordinator.
    SpilloverCoordinator(ITimerService &timers, const IClock &clock, GatewayBlackboard &blackboard,
                         Callbacks callbacks);

    /// Tells whether this instance is the reader of its region.
    void setReader(bool isReader);
    /// Takes counts of a follower.
    void addCounts(const OverflowCounts &counts);
    /// Takes the shares of the reader.
    void adoptShares(const std::vector<LocalShare> &shares);

private:
    void publish(const LocalShares &shares);

    const IClock &m_clock;
    GatewayBlackboard &m_blackboard;
    const log4cplus::Logger m_logger;
    const Callbacks m_callbacks;
    RegionSpillover m_spillover;
    bool m_isReader = false;
    TimerSubscription m_timer;
};

} // namespace lycheebay
