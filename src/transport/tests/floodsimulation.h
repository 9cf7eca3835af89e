#pragma once

#include "base/irandomsource.h"
#include "membership/neighbours.h"
#include "transport/internal/configurationrelay.h"

#include <map>
#include <string>
#include <vector>

namespace lycheebay {

struct FloodResult
{
    std::size_t members = 0;
    std::size_t links = 0;
    std::size_t reached = 0;
    std::size_t messages = 0;
    /// Greatest number of copies that one member received.
    std::size_t maxCopies = 0;
    std::size_t betweenRegions = 0;
    /// Hops until the last message was delivered.
    std::size_t rounds = 0;
};

/// Simulates how a record spreads among members that use the neighbour selection and record relay
/// of PeerNode.
class FloodSimulation
{
public:
    FloodSimulation(std::size_t members, std::size_t regions)
    {
        std::vector<NeighbourCandidate> candidates;
        for (std::size_t i = 0; i < members; ++i) {
            candidates.push_back(
                    { "instance-" + std::to_string(i), "region-" + std::to_string(i % regions) });
            m_nodes[candidates.back().instanceId].region = candidates.back().region;
        }
        for (auto &[id, node] : m_nodes) {
            const Neighbours neighbours = selectNeighbours(id, candidates);
            for (const std::string &successor : neighbours.successors)
                connect(id, successor);
            for (const std::string &relay : neighbours.relays)
                connect(id, relay);
        }
    }

    FloodResult run(IRandomSource &random)
    {
        FloodResult result;
        result.members = m_nodes.size();
        result.links = m_ends.size() / 2;
        auto origin = m_nodes.begin();
        std::advance(origin, static_cast<std::ptrdiff_t>(random.below(m_nodes.size())));
        std::vector<LinkId> sent = push(origin->second);
        while (!sent.empty()) {
            ++result.rounds;
            std::vector<LinkId> next;
            for (const LinkId link : sent) {
                Node &node = m_nodes.at(m_ends.at(link).to);
                ++result.messages;
                result.betweenRegions += m_ends.at(link).betweenRegions;
                result.maxCopies = std::max(result.maxCopies, ++node.copies);
                node.relay.advancePeerOffset(m_ends.at(link).reverse, 1);
                const std::vector<LinkId> pushed = push(node);
                next.insert(next.end(), pushed.begin(), pushed.end());
            }
            sent = next;
        }
        for (const auto &[id, node] : m_nodes)
            result.reached += node.holds;
        return result;
    }

private:
    struct Node
    {
        std::string region;
        ConfigurationRelay relay;
        bool holds = false;
        std::size_t copies = 0;
    };

    /// One direction of a link.
    struct End
    {
        std::string to;
        LinkId reverse = 0;
        bool betweenRegions = false;
    };

    void connect(const std::string &a, const std::string &b)
    {
        if (!m_connected.insert(a < b ? a + " " + b : b + " " + a).second)
            return;
        const LinkId there = m_ends.size() + 1;
        const LinkId back = there + 1;
        const bool between = m_nodes.at(a).region != m_nodes.at(b).region;
        m_ends[there] = { b, back, between };
        m_ends[back] = { a, there, between };
        m_nodes.at(a).relay.advancePeerOffset(there, 0);
        m_nodes.at(b).relay.advancePeerOffset(back, 0);
    }

    std::vector<LinkId> push(Node &node)
    {
        node.holds = true;
        std::vector<LinkId> links;
        for (const ConfigurationRelay::Push &pushed : node.relay.takeDuePushes(1))
            links.push_back(pushed.link);
        return links;
    }

    std::map<std::string, Node> m_nodes;
    std::map<LinkId, End> m_ends;
    StringSet m_connected;
};

} // namespace lycheebay
