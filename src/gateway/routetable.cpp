#include "gateway/routetable.h"

#include <algorithm>

namespace lycheebay {

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.rfind(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return name;
}

const RoutedHost *findHost(const GatewayConfiguration &configuration, std::string_view host)
{
    const auto it = std::find_if(configuration.hosts.begin(), configuration.hosts.end(),
                                 [&](const RoutedHost &entry) { return entry.host == host; });
    return it == configuration.hosts.end() ? nullptr : &*it;
}

const Route *findRoute(const GatewayConfiguration &configuration, std::string_view host,
                       std::string_view path)
{
    const RoutedHost *entry = findHost(configuration, host);
    if (!entry)
        return nullptr;
    const Route *best = nullptr;
    for (const Route &it : entry->routes) {
        if (path.starts_with(it.pathPrefix)
            && (!best || it.pathPrefix.size() > best->pathPrefix.size()))
            best = &it;
    }
    return best;
}

const WeightedService &chooseService(const Route &route, IRandomSource &random)
{
    if (route.services.size() == 1)
        return route.services.front();
    double total = 0;
    for (const WeightedService &it : route.services)
        total += it.weight;
    double point = random.uniform() * total;
    for (const WeightedService &it : route.services) {
        point -= it.weight;
        if (point < 0)
            return it;
    }
    return route.services.back();
}

const ServiceProperties *findService(const GatewayConfiguration &configuration,
                                     std::string_view service)
{
    const auto it =
            std::find_if(configuration.services.begin(), configuration.services.end(),
                         [&](const ServiceProperties &entry) { return entry.name == service; });
    return it == configuration.services.end() ? nullptr : &*it;
}

} // namespace lycheebay
