#include "estate/estate.h"

#include <algorithm>
#include <set>

namespace lycheebay {

namespace {

template <typename T, typename Key>
StringMap<std::size_t> indexBy(const std::vector<T> &items, Key key)
{
    StringMap<std::size_t> index;
    for (std::size_t i = 0; i < items.size(); ++i)
        index.emplace(items[i].*key, i);
    return index;
}

template <typename T>
const T *findIn(const std::vector<T> &items, const StringMap<std::size_t> &index,
                std::string_view name)
{
    const auto it = index.find(name);
    return it == index.end() ? nullptr : &items[it->second];
}

/// A prefix matches whole path segments only: "/clubs" matches "/clubs/7" but not "/clubsrooms".
bool matchesPrefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.empty() || prefix.back() == '/'
           || path[prefix.size()] == '/';
}

} // namespace

Estate::Estate(EstateData data)
    : m_data(std::move(data))
    , m_targets(indexBy(m_data.targets, &Target::id))
    , m_failureDomains(indexBy(m_data.failureDomains, &FailureDomain::name))
    , m_tenants(indexBy(m_data.tenants, &Tenant::name))
    , m_services(m_data.services.begin(), m_data.services.end())
{
    for (std::size_t i = 0; i < m_data.targets.size(); ++i)
        m_serviceTargets[m_data.targets[i].service].push_back(i);
    for (std::size_t i = 0; i < m_data.routes.size(); ++i)
        m_serviceRoutes[m_data.routes[i].service].push_back(i);
}

bool Estate::hasService(std::string_view name) const
{
    return m_services.contains(name);
}

const Target *Estate::findTarget(std::string_view id) const
{
    return findIn(m_data.targets, m_targets, id);
}

const FailureDomain *Estate::findFailureDomain(std::string_view name) const
{
    return findIn(m_data.failureDomains, m_failureDomains, name);
}

const Tenant *Estate::findTenant(std::string_view name) const
{
    return findIn(m_data.tenants, m_tenants, name);
}

const Route *Estate::findRoute(std::string_view service, std::string_view method,
                               std::string_view path) const
{
    const auto it = m_serviceRoutes.find(service);
    if (it == m_serviceRoutes.end())
        return nullptr;
    const Route *best = nullptr;
    for (const std::size_t i : it->second) {
        const Route &route = m_data.routes[i];
        if ((route.method != "*" && route.method != method)
            || !matchesPrefix(path, route.pathPrefix))
            continue;
        const bool better =
                !best || route.pathPrefix.size() > best->pathPrefix.size()
                || (route.pathPrefix.size() == best->pathPrefix.size() && best->method == "*");
        if (better)
            best = &route;
    }
    return best;
}

const std::string &Estate::regionOf(const Target &target) const
{
    return m_data.failureDomains[m_failureDomains.at(target.failureDomain)].region;
}

std::vector<const Target *> Estate::cellTargets(std::string_view service,
                                                std::string_view region) const
{
    std::vector<const Target *> targets;
    const auto it = m_serviceTargets.find(service);
    if (it == m_serviceTargets.end())
        return targets;
    for (const std::size_t i : it->second) {
        if (regionOf(m_data.targets[i]) == region)
            targets.push_back(&m_data.targets[i]);
    }
    return targets;
}

std::vector<std::string> Estate::regionsOf(std::string_view service) const
{
    std::set<std::string> regions;
    const auto it = m_serviceTargets.find(service);
    if (it != m_serviceTargets.end()) {
        for (const std::size_t i : it->second)
            regions.insert(regionOf(m_data.targets[i]));
    }
    return { regions.begin(), regions.end() };
}

bool Estate::stopCovers(StopScope scope, std::string_view name, WallTime now,
                        Duration stopLead) const
{
    return std::any_of(m_data.plannedStops.begin(), m_data.plannedStops.end(),
                       [&](const PlannedStop &stop) {
                           return stop.scope == scope && stop.name == name
                                  && now >= stop.start - stopLead && now < stop.end;
                       });
}

bool Estate::acceptsWork(const Target &target, WallTime now, Duration stopLead) const
{
    const FailureDomain *domain = findFailureDomain(target.failureDomain);
    if (target.drained || !domain || domain->drained)
        return false;
    return !stopCovers(StopScope::Target, target.id, now, stopLead)
           && !stopCovers(StopScope::FailureDomain, domain->name, now, stopLead);
}

bool Estate::instanceStops(std::string_view instanceId, std::string_view failureDomain,
                           WallTime now, Duration stopLead) const
{
    return stopCovers(StopScope::Instance, instanceId, now, stopLead)
           || stopCovers(StopScope::FailureDomain, failureDomain, now, stopLead);
}

} // namespace lycheebay
