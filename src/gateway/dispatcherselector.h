#pragma once

#include "base/irandomsource.h"
#include "gateway/estateview.h"
#include "gateway/servicepool.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheebay {

/// Another instance that dispatches to targets of a service.
struct RemoteDispatcher
{
    /// Id of the instance in the InstanceList.
    std::string instanceId;
    Address address;
    std::string region;
    /// How near its targets are; never Owned.
    Proximity proximity = Proximity::OtherRegion;
    /// Slots of the usable targets that it owns.
    int slots = 0;

    auto operator<=>(const RemoteDispatcher &) const = default;
};

/// How a request that was forwarded to another dispatcher ended.
enum class ForwardResult {
    Accepted,    ///< a target got the request
    Refused,     ///< the dispatcher has no room and states that the request did not run
    Unreachable, ///< the request was not sent
    Lost,        ///< no answer; the request may have run
    Abandoned,   ///< given up here, which says nothing about the dispatcher
};

/// Why a request is forwarded.
enum class ForwardReason {
    Crowded,    ///< it is likely to wait long here; not worth the cost of another region
    NoRoom,     ///< the targets of this instance cannot serve it in time
    NotOwner,   ///< this instance owns no target that may serve it
    HomeRegion, ///< it may only be served in regions other than this one
};

/// True if no target of this instance may serve the request, so that it is forwarded even to a
/// dispatcher that was short of room.
constexpr bool mustForward(ForwardReason reason)
{
    return reason == ForwardReason::NotOwner || reason == ForwardReason::HomeRegion;
}

/// A request that looks for a dispatcher.
struct ForwardRequest
{
    ForwardReason reason = ForwardReason::NoRoom;
    /// Regions that may serve the request; empty means all.
    std::vector<std::string> homeRegions;
    /// Ids of the instances that already refused it.
    std::vector<std::string> triedInstances;
    /// Latest time at which a target must start for the request to meet its objective.
    TimePoint latestStart;

    auto operator<=>(const ForwardRequest &) const = default;
};

/// Chooses another dispatcher for a request that this instance cannot serve, for loads that fill
/// the targets of one failure domain or region while those of another have free slots. Callers
/// choose their instance before the load is known, and keep the choice for seconds.
///
/// The load of the others is not exchanged; it is learned from their answers. Each dispatcher gets
/// at most a window of concurrent requests, which grows with each accepted request and is halved by
/// a refusal (additive increase, multiplicative decrease; Chiu and Jain, 1989). After a refusal it
/// is left alone for the time that it named. A shortage of all dispatchers thus costs few messages,
/// and instances do not turn to the same dispatcher all at once. Does no I/O. Not thread-safe.
class DispatcherSelector
{
public:
    explicit DispatcherSelector(IRandomSource &random)
        : m_random(random)
    {}

    /// Replaces the dispatchers. What is known of those that remain is kept.
    void setDispatchers(const std::vector<RemoteDispatcher> &dispatchers);

    /// Returns a dispatcher for the request, or null if none is likely to serve it in time. A
    /// request that must be forwarded gets one even if all are short of room.
    std::optional<RemoteDispatcher> select(const ForwardRequest &request, TimePoint now);

    /// Reports that a request was sent to an instance. Does nothing if it is not known, as the next
    /// function.
    void recordSent(const std::string &instanceId);
    /// Reports the end of a request that was sent. \a retryAfter is the time named by a refusal and
    /// \a elapsed the time since the request was sent.
    void recordResult(const std::string &instanceId, ForwardResult result, Duration retryAfter,
                      Duration elapsed, TimePoint now);

private:
    struct State
    {
        RemoteDispatcher dispatcher;
        int inFlight = 0;
        double window = 0;
        TimePoint heldUntil;
        /// Time for a request to get there and its refusal to come back.
        Duration roundTrip{};
    };

    State *find(const std::string &instanceId);
    bool isAllowed(const State &it, const ForwardRequest &request) const;
    bool hasRoom(const State &it, const ForwardRequest &request, TimePoint now) const;
    const State *pick(const std::vector<const State *> &candidates) const;

    IRandomSource &m_random;
    std::vector<State> m_states;
};

} // namespace lycheebay
