#pragma once

#include "base/iclock.h"
#include "base/stringmap.h"
#include "gateway/gatewayblackboard.h"
#include "gateway/internal/decisionlog.h"

#include <functional>

namespace lycheebay {

/// The target incarnations that have stated in a response that they leave, to this instance or to
/// another one of its region. They get no new requests whatever the platform lists; only another
/// incarnation does. Not thread-safe: use it on the event loop.
class LeavingTargets final
{
public:
    /// \a changed is called when a target was added. Precondition: the references outlive the
    /// object.
    LeavingTargets(const IClock &clock, GatewayBlackboard &blackboard, DecisionLog &log,
                   std::function<void()> changed);

    /// Records that the target with \a key leaves, and tells the other instances.
    void record(const std::string &key);
    bool contains(const std::string &key) const { return m_targets.contains(key); }
    /// Returns \a list with the recorded targets marked as leaving. Forgets targets that have been
    /// missing from it for a long time.
    IntrusivePtr<const TargetList> apply(const IntrusivePtr<const TargetList> &list);

private:
    bool add(const std::string &key);

    const IClock &m_clock;
    GatewayBlackboard &m_blackboard;
    DecisionLog &m_log;
    const std::function<void()> m_changed;
    /// When each target was listed last, or recorded.
    StringMap<TimePoint> m_targets;
};

} // namespace lycheebay
