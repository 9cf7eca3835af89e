#pragma once

#include "base/irandomsource.h"
#include "base/stringmap.h"
#include "gateway/estateview.h"
#include "gateway/gatewayconfiguration.h"

#include <string>
#include <string_view>
#include <vector>

namespace lycheebay {

/// Region of each failure domain.
using DomainRegions = StringMap<std::string>;

/// Inputs for the choice of dispatchers and addresses. The referenced values must outlive it.
struct DispatchInputs
{
    const GatewayConfiguration &configuration;
    const TargetList &targets;
    const DrainedDomains &drained;
    const InstanceList &instances;
    const DomainRegions &regions;
};

/// Returns the name of the dispatch group of \a service. Services that share a host, directly or
/// through other services, are in one group: callers choose an instance for a host, so the same
/// instances then dispatch, and count, all requests to the targets of these services. Thread-safe.
std::string dispatchGroup(const GatewayConfiguration &configuration, const std::string &service);

/// Returns at most \a count instances of \a failureDomain, best rank for \a group first. Uses
/// weighted rendezvous hashing (Thaler and Ravishankar, 1998; weights after Schindelhauer and
/// Schomaker, 2005), so that only the groups of an instance move when it leaves. Thread-safe.
std::vector<GatewayInstance> rankedInstances(const InstanceList &instances, std::string_view group,
                                             std::string_view failureDomain, std::size_t count);

/// Returns the instances that dispatch to the targets of a service in \a failureDomain: one for
/// each 64 slots of the service's group, so that the load of a dispatcher does not grow with the
/// estate. Thread-safe.
std::vector<GatewayInstance> dispatchersOf(const DispatchInputs &inputs, const std::string &service,
                                           const std::string &failureDomain);

/// Returns the dispatcher that owns the target, or null if \a dispatchers is empty. Thread-safe.
const GatewayInstance *ownerOf(const std::vector<GatewayInstance> &dispatchers,
                               const TargetRecord &target);

/// The owner of every target, computed once for a state of the estate. Immutable; thread-safe.
class TargetOwnership
{
public:
    TargetOwnership() = default;
    explicit TargetOwnership(const DispatchInputs &inputs);

    /// Returns the dispatcher that owns the target, or null if its failure domain has no instance.
    const GatewayInstance *ownerOf(const TargetRecord &target) const;

private:
    /// Keys are target ids.
    StringMap<GatewayInstance> m_owners;
};

/// A caller's request for instance addresses.
struct AddressQuery
{
    /// Normalized host that the caller wants to reach.
    std::string host;
    std::string failureDomain;
    std::string region;
    /// The caller should stay in its region if part of its requests may be served there.
    bool staysInRegion = false;

    auto operator<=>(const AddressQuery &) const = default;
};

/// An instance address and the capacity of the targets behind it.
struct AddressCandidate
{
    Address address;
    /// Slots of the usable targets that the instance owns.
    int slots = 0;

    auto operator<=>(const AddressCandidate &) const = default;
};

/// Returns the home regions to which a caller is usually sent although some routes of its host may
/// be served in its own region; empty if it is in a home region, or if all requests must go there.
/// Thread-safe.
std::vector<std::string> distantHomeRegions(const GatewayConfiguration &configuration,
                                            const AddressQuery &query);

/// Returns the dispatchers that own targets which may serve the caller. If there are none, returns
/// some instances near the caller with equal capacities. Empty only if no instance is known.
/// Thread-safe.
std::vector<AddressCandidate> addressCandidates(const DispatchInputs &inputs,
                                                const AddressQuery &query);

/// Selects the addresses for one answer. Each candidate is included with a probability in
/// proportion to its capacity, so that all answers together spread callers by capacity. Empty only
/// if there is no candidate. Thread-safe if \a random is.
std::vector<Address> sampleAddresses(const std::vector<AddressCandidate> &candidates,
                                     IRandomSource &random);

} // namespace lycheebay
