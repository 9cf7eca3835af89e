#include "membership/neighbours.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <map>

namespace lycheebay {

namespace {

// Ring distances of the four successors and four predecessors of an instance, which has at most
// eight links in its region.
constexpr std::array<std::size_t, 4> kRingDistances{ 1, 2, 4, 8 };
constexpr std::size_t kRelaysPerRegion = 2;
// With more regions a relay has links only to the relays with its own rank in each region. Links to
// all relays would double its heartbeat traffic, which has to stay below 5 KB/s.
constexpr std::size_t kMaxRegionsInFullMesh = 4;

struct RingPosition
{
    std::uint64_t hash = 0;
    std::string id;

    auto operator<=>(const RingPosition &) const = default;
};

using RelayTable = std::map<std::string, std::vector<std::string>>;

std::vector<RingPosition> buildRing(const std::string &region,
                                    const std::vector<NeighbourCandidate> &candidates)
{
    std::vector<RingPosition> ring;
    for (const NeighbourCandidate &candidate : candidates) {
        if (candidate.region == region)
            ring.push_back({ hash64(candidate.instanceId), candidate.instanceId });
    }
    std::sort(ring.begin(), ring.end());
    return ring;
}

void addUnlessPresent(std::vector<std::string> &ids, const std::string &id)
{
    if (std::find(ids.begin(), ids.end(), id) == ids.end())
        ids.push_back(id);
}

void selectRingNeighbours(const std::vector<RingPosition> &ring, std::size_t self,
                          Neighbours &result)
{
    const std::size_t size = ring.size();
    for (const std::size_t distance : kRingDistances) {
        if (distance >= size)
            break;
        addUnlessPresent(result.successors, ring[(self + distance) % size].id);
        addUnlessPresent(result.predecessors, ring[(self + size - distance) % size].id);
    }
}

RelayTable relaysByRegion(const std::vector<NeighbourCandidate> &candidates)
{
    RelayTable relays;
    for (const NeighbourCandidate &candidate : candidates)
        relays[candidate.region].push_back(candidate.instanceId);
    for (auto &[region, ids] : relays) {
        std::sort(ids.begin(), ids.end());
        ids.resize(std::min(ids.size(), kRelaysPerRegion));
    }
    return relays;
}

void selectRelays(std::string_view selfId, const std::string &ownRegion, const RelayTable &relays,
                  Neighbours &result)
{
    const std::vector<std::string> &own = relays.at(ownRegion);
    const auto it = std::find(own.begin(), own.end(), selfId);
    if (it == own.end())
        return;
    const std::size_t rank = static_cast<std::size_t>(it - own.begin());
    const bool fullMesh = relays.size() <= kMaxRegionsInFullMesh;
    for (const auto &[region, ids] : relays) {
        if (region == ownRegion)
            continue;
        for (std::size_t i = 0; i < ids.size(); ++i) {
            // The only entry of a region takes both ranks.
            const bool sameRank = i == rank || ids.size() == 1 || own.size() == 1;
            if (fullMesh || sameRank)
                result.relays.push_back(ids[i]);
        }
    }
}

} // namespace

Neighbours selectNeighbours(std::string_view selfId,
                            const std::vector<NeighbourCandidate> &candidates)
{
    Neighbours result;
    const auto self = std::find_if(
            candidates.begin(), candidates.end(),
            [&](const NeighbourCandidate &candidate) { return candidate.instanceId == selfId; });
    if (self == candidates.end())
        return result;
    const std::vector<RingPosition> ring = buildRing(self->region, candidates);
    const auto position = std::find_if(ring.begin(), ring.end(), [&](const RingPosition &entry) {
        return entry.id == selfId;
    });
    selectRingNeighbours(ring, static_cast<std::size_t>(position - ring.begin()), result);
    selectRelays(selfId, self->region, relaysByRegion(candidates), result);
    return result;
}

std::vector<NeighbourCandidate> neighbourCandidates(const MemberTable &table)
{
    std::map<std::string, std::vector<NeighbourCandidate>> usable;
    std::map<std::string, std::vector<NeighbourCandidate>> unreachable;
    for (const auto &[id, record] : table.records()) {
        const std::string &region = record.update.identity.region;
        if (record.isUsable())
            usable[region].push_back({ id, region });
        else if (record.unreachable && record.update.state == MemberState::Alive)
            unreachable[region].push_back({ id, region });
    }
    for (auto &[region, members] : unreachable) {
        if (!usable.contains(region))
            usable[region] = members;
    }
    std::vector<NeighbourCandidate> result;
    for (const auto &[region, members] : usable)
        result.insert(result.end(), members.begin(), members.end());
    return result;
}

} // namespace lycheebay
