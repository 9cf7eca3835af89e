#include "gateway/dispatcherselector.h"

#include <algorithm>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

constexpr double kInitialWindow = 4;
constexpr double kMinWindow = 1;
constexpr double kMaxWindow = 64;
// Assumed until the first refusal is measured; the delay between regions, there and back.
constexpr Duration kInitialRoundTrip = milliseconds(20);
constexpr double kRoundTripSampleWeight = 0.2;
// Bounds of the time for which a dispatcher is left alone after a refusal.
constexpr Duration kMinHold = milliseconds(50);
constexpr Duration kMaxHold = milliseconds(1000);
// An instance that cannot be reached has usually left; the list of instances shows it after some
// seconds.
constexpr Duration kUnreachableHold = milliseconds(2000);

bool contains(const std::vector<std::string> &list, const std::string &value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

} // namespace

void DispatcherSelector::setDispatchers(const std::vector<RemoteDispatcher> &dispatchers)
{
    std::vector<State> states;
    states.reserve(dispatchers.size());
    for (const RemoteDispatcher &it : dispatchers) {
        const State *known = find(it.instanceId);
        State state = known ? *known : State{ {}, 0, kInitialWindow, {}, kInitialRoundTrip };
        state.dispatcher = it;
        states.push_back(std::move(state));
    }
    m_states = std::move(states);
}

std::optional<RemoteDispatcher> DispatcherSelector::select(const ForwardRequest &request,
                                                           TimePoint now)
{
    for (const Proximity proximity :
         { Proximity::SameDomain, Proximity::SameRegion, Proximity::OtherRegion }) {
        std::vector<const State *> candidates;
        for (const State &it : m_states) {
            if (it.dispatcher.proximity == proximity && isAllowed(it, request)
                && hasRoom(it, request, now))
                candidates.push_back(&it);
        }
        if (const State *chosen = pick(candidates))
            return chosen->dispatcher;
    }
    // A second refusal would be no news.
    if (!mustForward(request.reason) || !request.triedInstances.empty())
        return std::nullopt;
    std::vector<const State *> allowed;
    for (const State &it : m_states) {
        if (isAllowed(it, request))
            allowed.push_back(&it);
    }
    const State *chosen = pick(allowed);
    return chosen ? std::optional(chosen->dispatcher) : std::nullopt;
}

bool DispatcherSelector::isAllowed(const State &it, const ForwardRequest &request) const
{
    if (request.reason == ForwardReason::Crowded
        && it.dispatcher.proximity == Proximity::OtherRegion)
        return false;
    return it.dispatcher.slots > 0
           && (request.homeRegions.empty() || contains(request.homeRegions, it.dispatcher.region))
           && !contains(request.triedInstances, it.dispatcher.instanceId);
}

bool DispatcherSelector::hasRoom(const State &it, const ForwardRequest &request,
                                 TimePoint now) const
{
    if (now < it.heldUntil)
        return false;
    if (mustForward(request.reason))
        return true;
    return it.inFlight < static_cast<int>(it.window) && now + it.roundTrip <= request.latestStart;
}

const DispatcherSelector::State *
DispatcherSelector::pick(const std::vector<const State *> &candidates) const
{
    std::uint64_t slots = 0;
    for (const State *it : candidates)
        slots += static_cast<std::uint64_t>(it->dispatcher.slots);
    if (slots == 0)
        return nullptr;
    auto drawn = m_random.below(slots);
    for (const State *it : candidates) {
        const auto share = static_cast<std::uint64_t>(it->dispatcher.slots);
        if (drawn < share)
            return it;
        drawn -= share;
    }
    return nullptr;
}

void DispatcherSelector::recordSent(const std::string &instanceId)
{
    if (State *it = find(instanceId))
        ++it->inFlight;
}

void DispatcherSelector::recordResult(const std::string &instanceId, ForwardResult result,
                                      Duration retryAfter, Duration elapsed, TimePoint now)
{
    State *it = find(instanceId);
    if (!it)
        return;
    it->inFlight = std::max(0, it->inFlight - 1);
    switch (result) {
    case ForwardResult::Accepted:
        it->window = std::min(it->window + 1, kMaxWindow);
        break;
    case ForwardResult::Refused:
        // Requests that were under way at the first refusal say nothing new.
        if (now >= it->heldUntil)
            it->window = std::max(it->window / 2, kMinWindow);
        it->heldUntil = now + std::clamp(retryAfter, kMinHold, kMaxHold);
        it->roundTrip = std::chrono::duration_cast<Duration>(
                it->roundTrip + (elapsed - it->roundTrip) * kRoundTripSampleWeight);
        break;
    case ForwardResult::Unreachable:
    case ForwardResult::Lost:
        it->window = kMinWindow;
        it->heldUntil = now + kUnreachableHold;
        break;
    case ForwardResult::Abandoned:
        break;
    }
}

DispatcherSelector::State *DispatcherSelector::find(const std::string &instanceId)
{
    const auto it = std::find_if(m_states.begin(), m_states.end(), [&](const State &state) {
        return state.dispatcher.instanceId == instanceId;
    });
    return it == m_states.end() ? nullptr : &*it;
}

} // namespace lycheebay
