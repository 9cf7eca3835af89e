#pragma once

#include "base/systemclock.h"
#include "transport/asiotimerservice.h"
#include "transport/peernode.h"
#include "transport/peertransport.h"
#include "transport/tests/memoryfollower.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lycheebay {

struct ClusterSettings
{
    std::size_t nodes = 18;
    std::size_t regions = 2;
    std::uint64_t seed = 1;
    std::uint16_t firstPort = 21000;
};

/// Peer nodes with real loopback links in one process. They share one I/O thread and one timer
/// thread, so that the costs of all nodes can be divided by their number.
class PeerCluster
{
public:
    explicit PeerCluster(const ClusterSettings &settings);
    ~PeerCluster();
    PeerCluster(const PeerCluster &) = delete;
    PeerCluster &operator=(const PeerCluster &) = delete;

    absl::Status start();
    /// Gives every node the roster of all nodes.
    void setRoster();
    /// Tells whether every node knows all others as alive and has at least one link.
    bool isComplete() const;
    /// Publishes a record at one node and returns the time until all have it; negative when it
    /// takes longer than \a limit.
    Duration timeToReachAll(std::size_t origin, Duration limit);

    std::size_t size() const { return m_nodes.size(); }
    PeerTraffic traffic(std::size_t index) const { return m_nodes[index]->node->traffic(); }
    std::size_t links(std::size_t index) const;

private:
    struct Node
    {
        RosterMember self;
        std::unique_ptr<PeerTransport> transport;
        MemoryFollower follower;
        std::unique_ptr<ConfigurationLease> lease;
        std::unique_ptr<PeerNode> node;
    };

    std::unique_ptr<Node> makeNode(std::size_t index, const ClusterSettings &settings);

    SystemClock m_clock;
    IoThread m_io;
    AsioTimerService m_timers;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<RosterMember> m_roster;
};

/// Polls \a condition every \a period; false when \a limit has passed.
bool waitFor(const std::function<bool()> &condition, Duration limit,
             Duration period = std::chrono::milliseconds(1));

} // namespace lycheebay
