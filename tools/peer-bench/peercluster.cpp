#include "peercluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace lycheebay {

namespace {

constexpr std::size_t kSeedAddresses = 3;

} // namespace

bool waitFor(const std::function<bool()> &condition, Duration limit, Duration period)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(period);
    }
    return true;
}

PeerCluster::PeerCluster(const ClusterSettings &settings)
{
    for (std::size_t i = 0; i < settings.nodes; ++i) {
        m_nodes.push_back(makeNode(i, settings));
        m_roster.push_back(m_nodes.back()->self);
    }
    std::sort(m_roster.begin(), m_roster.end());
}

PeerCluster::~PeerCluster()
{
    for (const auto &node : m_nodes)
        node->node->stop();
}

std::unique_ptr<PeerCluster::Node> PeerCluster::makeNode(std::size_t index,
                                                         const ClusterSettings &settings)
{
    auto node = std::make_unique<Node>();
    node->self.instanceId = fmt::format("instance-{:05}", index);
    node->self.incarnation = settings.seed * 1'000'000 + index;
    node->self.region = fmt::format("region-{}", index % settings.regions);
    node->self.failureDomain = fmt::format("domain-{}", index % (2 * settings.regions));
    node->self.peer = { "127.0.0.1", static_cast<std::uint16_t>(settings.firstPort + index) };
    node->self.joinedAt = index + 1;
    PeerTransportSettings transport;
    transport.bind = node->self.peer;
    transport.seed = settings.seed + index;
    node->transport = std::make_unique<PeerTransport>(m_io, transport);
    const LeaseSettings lease{ .inStoreRegion = index % settings.regions == 0 };
    node->lease = std::make_unique<ConfigurationLease>(lease, m_clock.now());
    PeerNodeSettings peer;
    peer.self = node->self;
    peer.startedAtMs = 1;
    node->node = std::make_unique<PeerNode>(peer, m_clock, *node->transport, node->follower,
                                            *node->lease, PeerNodeCallbacks());
    return node;
}

absl::Status PeerCluster::start()
{
    std::vector<Address> seeds;
    for (std::size_t i = 0; i < std::min(kSeedAddresses, m_nodes.size()); ++i)
        seeds.push_back(m_nodes[i]->self.peer);
    for (const auto &node : m_nodes) {
        node->node->setSeeds(seeds);
        if (absl::Status status = node->node->start(m_timers); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

void PeerCluster::setRoster()
{
    for (const auto &node : m_nodes)
        node->node->setConfiguration(m_roster, node->follower.nextOffset());
}

bool PeerCluster::isComplete() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &node) {
        const std::vector<PeerStatus> peers = node->node->peers();
        const auto alive = std::count_if(peers.begin(), peers.end(), [](const PeerStatus &peer) {
            return peer.state == MemberState::Alive;
        });
        const bool linked = std::any_of(peers.begin(), peers.end(),
                                        [](const PeerStatus &peer) { return peer.linked; });
        return linked && static_cast<std::size_t>(alive) + 1 == m_nodes.size();
    });
}

Duration PeerCluster::timeToReachAll(std::size_t origin, Duration limit)
{
    constexpr std::size_t kRecordBytes = 300;
    Node &publisher = *m_nodes[origin];
    publisher.follower.append(std::string(kRecordBytes, 'r'));
    const std::uint64_t next = publisher.follower.nextOffset();
    const TimePoint begin = m_clock.now();
    publisher.node->setConfiguration(m_roster, next);
    const bool reached = waitFor(
            [&] {
                return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &node) {
                    return node->follower.nextOffset() >= next;
                });
            },
            limit);
    return reached ? m_clock.now() - begin : Duration(-1);
}

std::size_t PeerCluster::links(std::size_t index) const
{
    const std::vector<PeerStatus> peers = m_nodes[index]->node->peers();
    return static_cast<std::size_t>(std::count_if(
            peers.begin(), peers.end(), [](const PeerStatus &peer) { return peer.linked; }));
}

} // namespace lycheebay
