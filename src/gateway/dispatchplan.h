#pragma once

#include "base/irandomsource.h"
#include "base/stringmap.h"
#include "gateway/estateview.h"
#include "gateway/gatewayconfiguration.h"

#include <string>
#include <string_view>
#include <vector>

namespace lycheebay {

/// Failure domains and the regions that they are in.
using DomainRegions = StringMap<std::string>;

/// What the choice of dispatchers and addresses rests on. The referenced values must outlive it.
struct DispatchInputs
{
    const GatewayConfiguration &configuration;
    const TargetList &targets;
    const DrainedDomains &drained;
    const InstanceList &instances;
    const DomainRegions &regions;
};

/// Returns the name of the group of services that \a service belongs to. Services that share a host
/// are in one group, since callers choose an instance for a host: one instance then counts all
/// requests at its targets. Thread-safe.
std::string dispatchGroup(const GatewayConfiguration &configuration, const std::string &service);

/// Returns at most \a count instances of \a failureDomain in the order of their ranks for \a group.
/// Ranked by weighted rendezvous hashing (Thaler and Ravishankar, 1998; weights after Schindelhauer
/// and Schomaker, 2005), so that an instance that leaves moves only its own groups. Thread-safe.
std::vector<GatewayInstance> rankedInstances(const InstanceList &instances, std::string_view group,
                                             std::string_view failureDomain, std::size_t count);

/// Returns the instances that dispatch to the targets of a service in \a failureDomain: one for
/// each 64 slots of the service's group, so that a dispatcher's load does not grow with the estate.
/// Thread-safe.
std::vector<GatewayInstance> dispatchersOf(const DispatchInputs &inputs, const std::string &service,
                                           const std::string &failureDomain);

/// Returns the one of \a dispatchers that dispatches to the target, or null if there are none.
/// Thread-safe.
const GatewayInstance *ownerOf(const std::vector<GatewayInstance> &dispatchers,
                               const TargetRecord &target);

/// Who asks for addresses.
struct AddressQuery
{
    /// Normalized host that the caller wants to reach.
    std::string host;
    std::string failureDomain;
    std::string region;

    auto operator<=>(const AddressQuery &) const = default;
};

/// An address and the capacity behind it.
struct AddressCandidate
{
    Address address;
    /// Usable slots of the targets that the instance dispatches to.
    int slots = 0;

    auto operator<=>(const AddressCandidate &) const = default;
};

/// Returns the dispatchers whose targets may serve the caller. Without any, some instances near the
/// caller, which then get equal shares. Empty only if no instance is known. Thread-safe.
std::vector<AddressCandidate> addressCandidates(const DispatchInputs &inputs,
                                                const AddressQuery &query);

/// Draws the addresses for one answer: each option with a probability in proportion to its
/// capacity, so that the sum of all answers spreads callers over the capacity. Empty only if there
/// is no option. Thread-safe if \a random is.
std::vector<Address> sampleAddresses(const std::vector<AddressCandidate> &candidates,
                                     IRandomSource &random);

} // namespace lycheebay
