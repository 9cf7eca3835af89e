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

/// Returns the instances that dispatch for a group of services to the targets in \a failureDomain,
/// the first one being the owner, at most \a count. Chosen by rendezvous hashing (Thaler and
/// Ravishankar, 1998), so that an instance that leaves moves only its own groups. Thread-safe.
std::vector<GatewayInstance> dispatchersOf(const InstanceList &instances, std::string_view group,
                                           std::string_view failureDomain, std::size_t count);

/// Who asks for addresses.
struct AddressQuery
{
    /// Normalized host that the caller wants to reach.
    std::string host;
    std::string failureDomain;
    std::string region;

    auto operator<=>(const AddressQuery &) const = default;
};

/// Returns the addresses that a caller should connect to: the dispatchers in each failure domain
/// whose targets may serve the host, included with a probability in proportion to the domain's
/// capacity, so that the sum of all answers spreads callers over the capacity. Empty only if no
/// instance is known. Thread-safe if \a random is.
std::vector<Address> chooseAddresses(const DispatchInputs &inputs, const AddressQuery &query,
                                     std::size_t dispatchersPerDomain, IRandomSource &random);

} // namespace lycheebay
