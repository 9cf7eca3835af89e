#include "gateway/dispatchplan.h"

#include "base/hash.h"
#include "gateway/routetable.h"

#include <algorithm>
#include <map>

namespace lycheebay {

namespace {

// Addresses that a caller gets when no dispatcher can be chosen.
constexpr std::size_t kFallbackAddresses = 4;

/// The services of a host and the regions that may serve it; no regions means all.
struct HostNeeds
{
    std::vector<std::string> services;
    std::vector<std::string> regions;
    bool anyRegion = false;

    bool allows(const std::string &region) const
    {
        return anyRegion || std::find(regions.begin(), regions.end(), region) != regions.end();
    }
};

HostNeeds needsOf(const RoutedHost &host)
{
    HostNeeds needs;
    for (const Route &route : host.routes) {
        needs.anyRegion = needs.anyRegion || route.homeRegions.empty();
        needs.regions.insert(needs.regions.end(), route.homeRegions.begin(),
                             route.homeRegions.end());
        for (const RoutePart &part : route.parts)
            needs.services.push_back(part.service);
    }
    return needs;
}

/// The part of a host that has the most weight; its dispatchers serve the whole host.
std::string mainService(const RoutedHost &host)
{
    std::string best;
    double bestWeight = -1;
    for (const Route &route : host.routes) {
        for (const RoutePart &part : route.parts) {
            if (part.weight > bestWeight) {
                best = part.service;
                bestWeight = part.weight;
            }
        }
    }
    return best;
}

std::string regionOf(const DispatchInputs &inputs, const std::string &failureDomain)
{
    const auto it = inputs.regions.find(failureDomain);
    return it == inputs.regions.end() ? std::string() : it->second;
}

/// Slots that may be used for the host, by failure domain.
std::map<std::string, int> capacities(const DispatchInputs &inputs, const HostNeeds &needs)
{
    std::map<std::string, int> slots;
    for (const TargetRecord &it : inputs.targets.targets) {
        const auto &drained = inputs.drained.domains;
        const bool usable = !it.leaving
                && std::find(drained.begin(), drained.end(), it.failureDomain) == drained.end()
                && std::find(needs.services.begin(), needs.services.end(), it.service)
                        != needs.services.end()
                && needs.allows(regionOf(inputs, it.failureDomain));
        if (usable)
            slots[it.failureDomain] += it.slots;
    }
    return slots;
}

std::vector<Address> fallbackAddresses(const InstanceList &instances,
                                       const std::string &failureDomain)
{
    std::vector<Address> addresses;
    for (const bool sameDomain : { true, false }) {
        for (const GatewayInstance &it : instances.instances) {
            if ((it.failureDomain == failureDomain) == sameDomain
                && addresses.size() < kFallbackAddresses)
                addresses.push_back(it.address);
        }
        if (!addresses.empty())
            break;
    }
    return addresses;
}

} // namespace

std::vector<GatewayInstance> dispatchersOf(const InstanceList &instances, std::string_view service,
                                           std::string_view failureDomain, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const GatewayInstance *>> ranked;
    for (const GatewayInstance &it : instances.instances) {
        if (it.failureDomain == failureDomain)
            ranked.emplace_back(hash64(service, hash64(it.id)), &it);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<GatewayInstance> chosen;
    for (std::size_t i = 0; i < ranked.size() && i < count; ++i)
        chosen.push_back(*ranked[i].second);
    return chosen;
}

std::vector<Address> chooseAddresses(const DispatchInputs &inputs, const AddressQuery &query,
                                     std::size_t dispatchersPerDomain, IRandomSource &random)
{
    const RoutedHost *host = findHost(inputs.configuration, query.host);
    if (!host)
        return fallbackAddresses(inputs.instances, query.failureDomain);
    const std::string service = mainService(*host);
    struct Option
    {
        std::vector<GatewayInstance> dispatchers;
        int slots = 0;
    };
    std::vector<Option> options;
    int most = 0;
    for (const auto &[domain, slots] : capacities(inputs, needsOf(*host))) {
        Option option{ dispatchersOf(inputs.instances, service, domain, dispatchersPerDomain),
                       slots };
        if (option.dispatchers.empty())
            continue;
        most = std::max(most, slots);
        options.push_back(std::move(option));
    }
    std::vector<Address> addresses;
    for (const Option &it : options) {
        if (random.uniform() * most >= it.slots)
            continue;
        for (const GatewayInstance &dispatcher : it.dispatchers)
            addresses.push_back(dispatcher.address);
    }
    return addresses.empty() ? fallbackAddresses(inputs.instances, query.failureDomain) : addresses;
}

} // namespace lycheebay
