#include "gateway/dispatchplan.h"

#include "base/hash.h"
#include "gateway/routetable.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace lycheebay {

namespace {

// Slots per dispatcher. This many slots serve about 60 requests per second, which suits the
// smallest instances with a tenth of a core and 10 Mbit/s.
constexpr int kSlotsPerDispatcher = 64;
// Maximum number of addresses in an answer if no dispatcher is known.
constexpr std::size_t kFallbackAddresses = 4;

bool contains(const std::vector<std::string> &list, const std::string &value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

/// The services of a host and the regions that may serve it. Empty regions means all.
struct HostRequirements
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

/// Returns the regions that all routes with the given execution semantics allow; empty means all.
/// If the routes have no region in common, returns the caller's own region.
std::vector<std::string> regionsOf(const RoutedHost &host, ExecutionSemantics executionSemantics,
                                   const std::string &callerRegion)
{
    std::vector<std::string> regions;
    for (const Route &route : host.routes) {
        if (route.executionSemantics != executionSemantics)
            continue;
        const std::vector<std::string> common = commonRegions(regions, route.homeRegions);
        if (common.empty() && !route.homeRegions.empty())
            return { callerRegion };
        regions = common;
    }
    return regions;
}

/// Callers choose an address for a host, not for a route, so the home regions of any route apply to
/// the whole host. If they conflict, those of at-most-once routes take precedence, since home
/// regions protect the data in the bodies of such requests.
HostRequirements requirementsOf(const RoutedHost &host, const std::string &callerRegion)
{
    HostRequirements requirements;
    for (const Route &route : host.routes) {
        for (const WeightedService &weighted : route.services)
            requirements.services.push_back(weighted.service);
    }
    requirements.regions = regionsOf(host, ExecutionSemantics::AtMostOnce, callerRegion);
    const auto idempotent = regionsOf(host, ExecutionSemantics::Idempotent, callerRegion);
    const auto common = commonRegions(requirements.regions, idempotent);
    if (!common.empty())
        requirements.regions = common;
    return requirements;
}

std::string regionOf(const DispatchInputs &inputs, const std::string &failureDomain)
{
    const auto it = inputs.regions.find(failureDomain);
    return it == inputs.regions.end() ? std::string() : it->second;
}

std::vector<AddressCandidate> fallbackCandidates(const InstanceList &instances,
                                                 const std::string &failureDomain)
{
    std::vector<AddressCandidate> candidates;
    for (const bool sameDomain : { true, false }) {
        for (const GatewayInstance &it : instances.instances) {
            if ((it.failureDomain == failureDomain) == sameDomain
                && candidates.size() < kFallbackAddresses)
                candidates.push_back({ it.address, 1 });
        }
        if (!candidates.empty())
            break;
    }
    return candidates;
}

std::set<std::string> servicesOf(const RoutedHost &host)
{
    std::set<std::string> services;
    for (const Route &route : host.routes) {
        for (const WeightedService &weighted : route.services)
            services.insert(weighted.service);
    }
    return services;
}

std::set<std::string> servicesOfGroup(const GatewayConfiguration &configuration,
                                      const std::string &service)
{
    std::set<std::string> group{ service };
    for (bool grown = true; grown;) {
        grown = false;
        for (const RoutedHost &host : configuration.hosts) {
            const std::set<std::string> services = servicesOf(host);
            const bool shares = std::any_of(services.begin(), services.end(),
                                            [&](const auto &it) { return group.contains(it); });
            if (!shares)
                continue;
            const std::size_t before = group.size();
            group.insert(services.begin(), services.end());
            grown = grown || group.size() > before;
        }
    }
    return group;
}

/// Returns the score of an instance in weighted rendezvous hashing; the highest score wins.
double rendezvousScore(std::string_view key, const GatewayInstance &instance)
{
    constexpr double kHashRange = 0x1.0p64;
    const double uniform =
            (static_cast<double>(hash64(key, hash64(instance.id))) + 1) / (kHashRange + 2);
    return -instance.weight / std::log(uniform);
}

} // namespace

std::string dispatchGroup(const GatewayConfiguration &configuration, const std::string &service)
{
    return *servicesOfGroup(configuration, service).begin();
}

std::vector<GatewayInstance> rankedInstances(const InstanceList &instances, std::string_view group,
                                             std::string_view failureDomain, std::size_t count)
{
    std::vector<std::pair<double, const GatewayInstance *>> ranked;
    for (const GatewayInstance &it : instances.instances) {
        if (it.failureDomain == failureDomain)
            ranked.emplace_back(rendezvousScore(group, it), &it);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<GatewayInstance> chosen;
    for (std::size_t i = 0; i < ranked.size() && i < count; ++i)
        chosen.push_back(*ranked[i].second);
    return chosen;
}

std::vector<GatewayInstance> dispatchersOf(const DispatchInputs &inputs, const std::string &service,
                                           const std::string &failureDomain)
{
    const std::set<std::string> group = servicesOfGroup(inputs.configuration, service);
    int slots = 0;
    for (const TargetRecord &it : inputs.targets.targets) {
        if (it.failureDomain == failureDomain && group.contains(it.service))
            slots += it.slots;
    }
    const int count = std::max(1, (slots + kSlotsPerDispatcher - 1) / kSlotsPerDispatcher);
    return rankedInstances(inputs.instances, *group.begin(), failureDomain,
                           static_cast<std::size_t>(count));
}

const GatewayInstance *ownerOf(const std::vector<GatewayInstance> &dispatchers,
                               const TargetRecord &target)
{
    const GatewayInstance *best = nullptr;
    double bestScore = 0;
    for (const GatewayInstance &it : dispatchers) {
        const double score = rendezvousScore(target.id, it);
        if (!best || score > bestScore) {
            best = &it;
            bestScore = score;
        }
    }
    return best;
}

TargetOwnership::TargetOwnership(const DispatchInputs &inputs)
{
    std::map<std::string, std::string> groups;
    std::map<std::pair<std::string, std::string>, std::vector<GatewayInstance>> dispatchers;
    for (const TargetRecord &it : inputs.targets.targets) {
        auto group = groups.find(it.service);
        if (group == groups.end()) {
            const std::set<std::string> services =
                    servicesOfGroup(inputs.configuration, it.service);
            for (const std::string &service : services)
                groups[service] = *services.begin();
            group = groups.find(it.service);
        }
        const auto [known, isNew] = dispatchers.try_emplace({ group->second, it.failureDomain });
        if (isNew)
            known->second = dispatchersOf(inputs, it.service, it.failureDomain);
        if (const GatewayInstance *owner = lycheebay::ownerOf(known->second, it))
            m_owners[it.id] = *owner;
    }
}

const GatewayInstance *TargetOwnership::ownerOf(const TargetRecord &target) const
{
    const auto it = m_owners.find(target.id);
    return it == m_owners.end() ? nullptr : &it->second;
}

namespace {

/// Returns the owners of the usable targets of \a services in \a regions; empty regions means all.
std::vector<AddressCandidate> ownersIn(const DispatchInputs &inputs,
                                       const std::vector<std::string> &services,
                                       const std::vector<std::string> &regions)
{
    std::map<std::string, std::vector<GatewayInstance>> dispatchers;
    std::map<Address, int> slots;
    for (const TargetRecord &it : inputs.targets.targets) {
        const bool usable =
                !it.leaving && !contains(inputs.drained.domains, it.failureDomain)
                && contains(services, it.service)
                && (regions.empty() || contains(regions, regionOf(inputs, it.failureDomain)));
        if (!usable)
            continue;
        const auto [known, isNew] = dispatchers.try_emplace(it.failureDomain);
        if (isNew)
            known->second = dispatchersOf(inputs, it.service, it.failureDomain);
        if (const GatewayInstance *owner = ownerOf(known->second, it))
            slots[owner->address] += it.slots;
    }
    std::vector<AddressCandidate> candidates;
    candidates.reserve(slots.size());
    for (const auto &[address, count] : slots)
        candidates.push_back({ address, count });
    return candidates;
}

} // namespace

std::vector<std::string> distantHomeRegions(const GatewayConfiguration &configuration,
                                            const AddressQuery &query)
{
    const RoutedHost *host = findHost(configuration, query.host);
    if (!host)
        return {};
    const bool mayStay = std::any_of(host->routes.begin(), host->routes.end(),
                                     [](const Route &it) { return it.homeRegions.empty(); });
    const HostRequirements requirements = requirementsOf(*host, query.region);
    const bool distant = mayStay && !requirements.allows(query.region);
    return distant ? requirements.regions : std::vector<std::string>();
}

std::vector<AddressCandidate> addressCandidates(const DispatchInputs &inputs,
                                                const AddressQuery &query)
{
    const RoutedHost *host = findHost(inputs.configuration, query.host);
    if (!host)
        return fallbackCandidates(inputs.instances, query.failureDomain);
    const HostRequirements requirements = requirementsOf(*host, query.region);
    std::vector<AddressCandidate> candidates;
    if (query.staysInRegion && !distantHomeRegions(inputs.configuration, query).empty())
        candidates = ownersIn(inputs, requirements.services, { query.region });
    if (candidates.empty())
        candidates = ownersIn(inputs, requirements.services, requirements.regions);
    return candidates.empty() ? fallbackCandidates(inputs.instances, query.failureDomain)
                              : candidates;
}

std::vector<Address> sampleAddresses(const std::vector<AddressCandidate> &candidates,
                                     IRandomSource &random)
{
    int most = 0;
    for (const AddressCandidate &it : candidates)
        most = std::max(most, it.slots);
    std::vector<Address> addresses;
    for (const AddressCandidate &it : candidates) {
        if (random.uniform() * most < it.slots)
            addresses.push_back(it.address);
    }
    return addresses;
}

} // namespace lycheebay
