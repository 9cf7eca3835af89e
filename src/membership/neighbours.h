#pragma once

#include "membership/membertable.h"

#include <string>
#include <string_view>
#include <vector>

namespace lycheebay {

/// A member that selectNeighbours() may choose.
struct NeighbourCandidate
{
    std::string instanceId;
    std::string region;

    auto operator<=>(const NeighbourCandidate &) const = default;
};

/// The instances to which one instance keeps links.
struct Neighbours
{
    /// Ring successors in the same region; this instance opens the links to them.
    std::vector<std::string> successors;
    /// Ring predecessors in the same region; they open the links.
    std::vector<std::string> predecessors;
    /// Relays of other regions; empty unless this instance is a relay itself.
    std::vector<std::string> relays;

    auto operator<=>(const Neighbours &) const = default;
};

/// Selects the neighbours of \a selfId from \a candidates, which contain the live members and
/// \a selfId itself. The result is empty when \a selfId is missing. Instances with the same
/// candidates agree about all links. Thread-safe.
Neighbours selectNeighbours(std::string_view selfId,
                            const std::vector<NeighbourCandidate> &candidates);

/// Returns the members of \a table to which links may be opened. When no member of a region is
/// usable, its unreachable members are candidates, so that links are restored when the partition
/// heals.
/// Thread-safe.
std::vector<NeighbourCandidate> neighbourCandidates(const MemberTable &table);

} // namespace lycheebay
