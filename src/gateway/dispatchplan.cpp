#include "gateway/dispatchplan.h"

#include "base/hash.h"
#include "gateway/routetable.h"

#include <algorithm>
#include <map>
#include <set>

namespace lycheebay {

namespace {

// Addresses that a caller gets when no dispatcher can be chosen.
constexpr std::size_t kFallbackAddresses = 4;

bool contains(const std::vector<std::string> &list, const std::string &value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

/// The services of a host and the regions that may serve it; no regions means all.
struct HostNeeds
{
    std::vector<std::string> services;
    std::vector<std::string> regions;

    bool allows(const std::string &region) const
    {
        return regions.empty() || contains(regions, region);
    }
};

std::vector<std::string> commonRegions(const std::vector<std::string> &a,
                                       const std::vector<std::string> &b)
{
    if (a.empty() || b.empty())
        return a.empty() ? b : a;
    std::vector<std::string> common;
    std::copy_if(a.begin(), a.end(), std::back_inserter(common),
                 [&](const std::string &it) { return contains(b, it); });
    return common;
}

/// Returns the regions that all routes of one kind allow. When they have none in common, only the
/// caller's own region is right for each of them.
std::vector<std::string> regionsOf(const RoutedHost &host, Repeatability kind,
                                   const std::string &callerRegion)
{
    std::vector<std::string> regions;
    for (const Route &route : host.routes) {
        if (route.repeatability != kind)
            continue;
        const std::vector<std::string> common = commonRegions(regions, route.homeRegions);
        if (common.empty() && !route.homeRegions.empty())
            return { callerRegion };
        regions = common;
    }
    return regions;
}

/// Callers choose an address for a host, not for a route, so routes with home regions bind the
/// whole host. Where they contradict each other, those that change something go first, since their
/// bodies are what the home regions protect.
HostNeeds needsOf(const RoutedHost &host, const std::string &callerRegion)
{
    HostNeeds needs;
    for (const Route &route : host.routes) {
        for (const RoutePart &part : route.parts)
            needs.services.push_back(part.service);
    }
    needs.regions = regionsOf(host, Repeatability::AtMostOnce, callerRegion);
    const auto idempotent = regionsOf(host, Repeatability::Idempotent, callerRegion);
    const auto common = commonRegions(needs.regions, idempotent);
    if (!common.empty())
        needs.regions = common;
    return needs;
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
        const bool usable = !it.leaving && !contains(inputs.drained.domains, it.failureDomain)
                            && contains(needs.services, it.service)
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

std::string dispatchGroup(const GatewayConfiguration &configuration, const std::string &service)
{
    std::set<std::string> group{ service };
    for (bool grown = true; grown;) {
        grown = false;
        for (const RoutedHost &host : configuration.hosts) {
            std::set<std::string> services;
            for (const Route &route : host.routes) {
                for (const RoutePart &part : route.parts)
                    services.insert(part.service);
            }
            const bool shares = std::any_of(services.begin(), services.end(),
                                            [&](const auto &it) { return group.contains(it); });
            if (!shares)
                continue;
            const std::size_t before = group.size();
            group.insert(services.begin(), services.end());
            grown = grown || group.size() > before;
        }
    }
    return *group.begin();
}

std::vector<GatewayInstance> dispatchersOf(const InstanceList &instances, std::string_view group,
                                           std::string_view failureDomain, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const GatewayInstance *>> ranked;
    for (const GatewayInstance &it : instances.instances) {
        if (it.failureDomain == failureDomain)
            ranked.emplace_back(hash64(group, hash64(it.id)), &it);
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
    const HostNeeds needs = needsOf(*host, query.region);
    if (needs.services.empty())
        return fallbackAddresses(inputs.instances, query.failureDomain);
    const std::string group = dispatchGroup(inputs.configuration, needs.services.front());
    struct Option
    {
        std::vector<GatewayInstance> dispatchers;
        int slots = 0;
    };
    std::vector<Option> options;
    int most = 0;
    for (const auto &[domain, slots] : capacities(inputs, needs)) {
        Option option{ dispatchersOf(inputs.instances, group, domain, dispatchersPerDomain),
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
