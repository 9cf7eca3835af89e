#pragma once

#include "membership/membertable.h"

#include <string>
#include <string_view>
#include <vector>

namespace lycheebay {

/// A member as the neighbour selection sees it.
struct NeighbourCandidate
{
    std::string instanceId;
    std::string region;

    auto operator<=>(const NeighbourCandidate &) const = default;
};

/// The instances that one instance keeps links to.
struct Neighbours
{
    /// Ring successors in the own region; this instance opens these links.
    std::vector<std::string> successors;
    /// Ring predecessors in the own region; they open these links.
    std::vector<std::string> predecessors;
    /// Relays of other regions; empty unless this instance is a relay itself.
    std::vector<std::string> relays;

    auto operator<=>(const Neighbours &) const = default;
};

/// Chooses the neighbours of \a selfId among \a candidates, which hold the live members and
/// \a selfId itself. Instances with the same candidates choose the same links. Thread-safe.
Neighbours selectNeighbours(std::string_view selfId,
                            const std::vector<NeighbourCandidate> &candidates);

/// Returns the members of \a table that links may lead to. When every known member of a region is
/// unreachable, all of them are candidates, so that links return when the partition heals.
/// Thread-safe.
std::vector<NeighbourCandidate> neighbourCandidates(const MemberTable &table);

} // namespace lycheebay
