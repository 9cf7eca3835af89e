#pragma once

#include "base/itimerservice.h"
#include "base/manualclock.h"
#include "transport/ipeerlinks.h"
#include "transport/peernode.h"
#include "transport/tests/memoryfollower.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace lycheebay {

/// Starts no timers, because the simulation calls PeerNode::tick() itself.
class NoTimers final : public ITimerService
{
public:
    TimerSubscription every(Duration, std::function<void()>) override { return nullptr; }
    TimerSubscription after(Duration, std::function<void()>) override { return nullptr; }
};

/// Connects PeerNodes in one thread on a manual clock. Simulates partitions and frozen processes.
class SimulatedNetwork
{
public:
    using Reachable = std::function<bool(const Address &, const Address &)>;

    class Links;

    struct Node
    {
        std::unique_ptr<Links> links;
        MemoryFollower follower;
        std::unique_ptr<ConfigurationLease> lease;
        std::unique_ptr<PeerNode> peer;
        std::vector<RosterMember> removed;
        std::vector<TargetVerdict> verdicts;
        std::vector<SharedCrashSuspect> suspects;
        bool frozen = false;
    };

    struct Delivery
    {
        Address from;
        Address to;
        LinkId link = 0;
        std::string frame;
    };

    Node &add(const std::string &id, const std::string &region, const LeaseSettings &lease = {});
    Node &node(const std::string &id) { return *m_nodes.at(id); }
    std::map<std::string, std::unique_ptr<Node>> &nodes() { return m_nodes; }
    /// Runs ticks and deliveries for \a duration of simulated time; \a each is called every 100 ms.
    void run(Duration duration, const std::function<void()> &each = {});
    /// Blocks traffic between addresses for which \a reachable returns false. Frames in flight
    /// between them are held until the addresses are reachable again.
    void setReachable(Reachable reachable) { m_reachable = std::move(reachable); }

    ManualClock &clock() { return m_clock; }
    /// Called for every frame sent.
    std::function<void(const Address &from, const Address &to, const std::string &frame)> onFrame;

    static Address addressOf(const std::string &id) { return { id, 1 }; }

private:
    friend class Links;

    bool canTalk(const Address &a, const Address &b) const
    {
        return !m_reachable || m_reachable(a, b);
    }
    void deliver();

    ManualClock m_clock;
    NoTimers m_timers;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::deque<Delivery> m_deliveries;
    Reachable m_reachable;
    LinkId m_nextLink = 1;
};

class SimulatedNetwork::Links final : public IPeerLinks
{
public:
    Links(SimulatedNetwork &network, Address self)
        : m_network(network)
        , m_self(std::move(self))
    {}

    absl::Status start(IPeerLinkListener *listener) override
    {
        m_listener = listener;
        return absl::OkStatus();
    }
    void stop() override { m_listener = nullptr; }
    void setDesiredAddresses(std::vector<Address> addresses) override
    {
        m_desired = { addresses.begin(), addresses.end() };
    }
    void send(LinkId link, std::string frame) override
    {
        const auto it = m_remotes.find(link);
        if (it == m_remotes.end())
            return;
        if (m_network.onFrame)
            m_network.onFrame(m_self, it->second, frame);
        m_network.m_deliveries.push_back({ m_self, it->second, link, std::move(frame) });
    }
    void close(LinkId link, std::string) override { m_closing.push_back(link); }

    void connectAndClose();
    void opened(LinkId link, bool outbound, const Address &remote);
    void closed(LinkId link);
    void received(LinkId link, const std::string &frame);

private:
    SimulatedNetwork &m_network;
    Address m_self;
    IPeerLinkListener *m_listener = nullptr;
    std::set<Address> m_desired;
    std::map<LinkId, Address> m_remotes;
    std::set<LinkId> m_outbound;
    std::vector<LinkId> m_closing;
};

inline void SimulatedNetwork::Links::opened(LinkId link, bool outbound, const Address &remote)
{
    m_remotes[link] = remote;
    if (outbound)
        m_outbound.insert(link);
    m_listener->linkOpened(link, outbound, remote);
}

inline void SimulatedNetwork::Links::closed(LinkId link)
{
    if (m_remotes.erase(link) == 0)
        return;
    m_outbound.erase(link);
    m_listener->linkClosed(link);
}

inline void SimulatedNetwork::Links::received(LinkId link, const std::string &frame)
{
    if (m_remotes.contains(link) && !m_listener->frameReceived(link, frame).ok())
        m_closing.push_back(link);
}

inline void SimulatedNetwork::Links::connectAndClose()
{
    std::set<Address> connected;
    for (const LinkId link : m_outbound) {
        connected.insert(m_remotes.at(link));
        if (!m_desired.contains(m_remotes.at(link)))
            m_closing.push_back(link);
    }
    for (const LinkId link : std::exchange(m_closing, {})) {
        const auto it = m_remotes.find(link);
        if (it == m_remotes.end())
            continue;
        const Address remote = it->second;
        closed(link);
        if (m_network.canTalk(m_self, remote))
            m_network.m_nodes.at(remote.host)->links->closed(link);
    }
    for (const Address &address : m_desired) {
        const auto it = m_network.m_nodes.find(address.host);
        const bool possible = it != m_network.m_nodes.end() && !it->second->frozen
                              && m_network.canTalk(m_self, address);
        if (connected.contains(address) || !possible)
            continue;
        const LinkId link = m_network.m_nextLink++;
        it->second->links->opened(link, false, m_self);
        opened(link, true, address);
    }
}

inline SimulatedNetwork::Node &
SimulatedNetwork::add(const std::string &id, const std::string &region, const LeaseSettings &lease)
{
    Node &node = *(m_nodes[id] = std::make_unique<Node>());
    node.links = std::make_unique<Links>(*this, addressOf(id));
    node.lease = std::make_unique<ConfigurationLease>(lease, m_clock.now());
    PeerNodeSettings settings;
    settings.self.instanceId = id;
    settings.self.incarnation = m_nodes.size();
    settings.self.region = region;
    settings.self.peer = addressOf(id);
    settings.startedAtMs = 1;
    PeerNodeCallbacks callbacks;
    callbacks.removeMember = [&node](const RosterMember &member) {
        node.removed.push_back(member);
    };
    callbacks.verdictsReceived = [&node](const std::vector<TargetVerdict> &verdicts) {
        node.verdicts.insert(node.verdicts.end(), verdicts.begin(), verdicts.end());
    };
    callbacks.crashSuspectsReceived = [&node](const std::vector<SharedCrashSuspect> &suspects) {
        node.suspects.insert(node.suspects.end(), suspects.begin(), suspects.end());
    };
    node.peer = std::make_unique<PeerNode>(settings, m_clock, *node.links, node.follower,
                                           *node.lease, callbacks);
    static_cast<void>(node.peer->start(m_timers));
    return node;
}

inline void SimulatedNetwork::deliver()
{
    for (Delivery &delivery : std::exchange(m_deliveries, {})) {
        Node &node = *m_nodes.at(delivery.to.host);
        if (node.frozen || !canTalk(delivery.from, delivery.to))
            m_deliveries.push_back(std::move(delivery));
        else
            node.links->received(delivery.link, delivery.frame);
    }
}

inline void SimulatedNetwork::run(Duration duration, const std::function<void()> &each)
{
    constexpr Duration kLatency = std::chrono::milliseconds(10);
    constexpr int kStepsPerTick = 10;
    const int steps = static_cast<int>(duration / kLatency);
    for (int i = 0; i < steps; ++i) {
        m_clock.advance(kLatency);
        deliver();
        if (i % kStepsPerTick != 0)
            continue;
        if (each)
            each();
        for (auto &[id, node] : m_nodes) {
            if (node->frozen)
                continue;
            node->peer->tick();
            node->links->connectAndClose();
        }
    }
}

} // namespace lycheebay
