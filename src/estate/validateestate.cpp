#include "estate/estate.h"
#include "estate/internal/estatefaults.h"
#include "estate/internal/text.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheebay {

namespace {

constexpr int kMaxSlots = 10000;
constexpr int kMaxWeight = 100;
constexpr int kMaxConnections = 100000;
constexpr std::size_t kMaxMethodLength = 16;
constexpr std::size_t kMaxPrefixLength = 256;
// Planned stops are compared in nanoseconds, which overflow in the year 2262.
constexpr WallTime kEarliestStop(std::chrono::sys_days(std::chrono::year(2000) / 1 / 1));
constexpr WallTime kLatestStop(std::chrono::sys_days(std::chrono::year(2200) / 1 / 1));

class EstateChecker
{
public:
    explicit EstateChecker(const EstateData &data)
        : m_data(data)
    {}

    std::vector<EstateFault> run()
    {
        checkAll(EstateObject::Region, m_data.regions, &EstateChecker::checkRegion);
        checkAll(EstateObject::FailureDomain, m_data.failureDomains, &EstateChecker::checkDomain);
        checkAll(EstateObject::Service, m_data.services, &EstateChecker::checkService);
        checkAll(EstateObject::Target, m_data.targets, &EstateChecker::checkTarget);
        checkAll(EstateObject::Route, m_data.routes, &EstateChecker::checkRoute);
        checkAll(EstateObject::Tenant, m_data.tenants, &EstateChecker::checkTenant);
        checkAll(EstateObject::PlannedStop, m_data.plannedStops, &EstateChecker::checkStop);
        return std::move(m_faults);
    }

private:
    template <typename T>
    void checkAll(EstateObject object, const std::vector<T> &items,
                  void (EstateChecker::*check)(const T &))
    {
        m_object = object;
        for (m_index = 0; m_index < items.size(); ++m_index)
            (this->*check)(items[m_index]);
    }

    void report(std::size_t column, std::string message)
    {
        m_faults.push_back({ m_object, m_index, column, std::move(message) });
    }

    void checkNewName(const char *kind, const std::string &name, StringSet &known)
    {
        if (!isName(name))
            report(2, fmt::format("{} name must be 1 to 64 characters of A-Z a-z 0-9 . _ -", kind));
        else if (!known.insert(name).second)
            report(2, fmt::format("{} \"{}\" is listed twice", kind, name));
    }

    void checkReference(std::size_t column, const char *kind, const std::string &name,
                        const StringSet &known)
    {
        if (!known.contains(name))
            report(column, fmt::format("unknown {} \"{}\"", kind, name));
    }

    void checkRange(std::size_t column, const char *field, int value, int low, int high)
    {
        if (value < low || value > high)
            report(column, fmt::format("{} {} is not in {}..{}", field, value, low, high));
    }

    void checkHomeRegions(std::size_t column, const std::vector<std::string> &regions)
    {
        StringSet seen;
        for (const std::string &region : regions) {
            checkReference(column, "home region", region, m_regions);
            if (!seen.insert(region).second)
                report(column, fmt::format("home region \"{}\" is listed twice", region));
        }
    }

    void checkRegion(const std::string &name) { checkNewName("region", name, m_regions); }

    void checkDomain(const FailureDomain &domain)
    {
        checkNewName("failure domain", domain.name, m_domains);
        checkReference(3, "region", domain.region, m_regions);
    }

    void checkService(const std::string &name) { checkNewName("service", name, m_services); }

    void checkTarget(const Target &target)
    {
        checkNewName("target", target.id, m_targets);
        checkReference(3, "service", target.service, m_services);
        checkReference(4, "failure domain", target.failureDomain, m_domains);
        const std::string address = target.address.toString();
        const auto parsed = parseAddress(address);
        if (!parsed.ok())
            report(5, std::string(parsed.status().message()));
        else if (!m_addresses.insert(address).second)
            report(5, fmt::format("address {} belongs to another target too", address));
        checkRange(6, "slots", target.slots, 1, kMaxSlots);
        checkRange(7, "cold limit", target.coldLimit, 1, std::max(1, target.slots));
        checkRange(8, "connections", target.maxConnections, 1, kMaxConnections);
    }

    void checkRoute(const Route &route)
    {
        checkReference(2, "service", route.service, m_services);
        const bool upperCase = std::all_of(route.method.begin(), route.method.end(),
                                           [](char c) { return c >= 'A' && c <= 'Z'; });
        if (route.method != "*"
            && (route.method.empty() || route.method.size() > kMaxMethodLength || !upperCase))
            report(3, "method must be * or 1 to 16 upper-case letters");
        const bool printable = std::all_of(route.pathPrefix.begin(), route.pathPrefix.end(),
                                           [](char c) { return c > ' ' && c < '\x7f'; });
        if (!route.pathPrefix.starts_with('/') || route.pathPrefix.size() > kMaxPrefixLength
            || !printable)
            report(4, "path prefix must begin with / and have up to 256 printable characters");
        const std::string key =
                fmt::format("{} {} {}", route.service, route.method, route.pathPrefix);
        if (!m_routes.insert(key).second)
            report(2, fmt::format("route \"{}\" is listed twice", key));
        checkRange(6, "weight", route.weight, 1, kMaxWeight);
        checkHomeRegions(7, route.homeRegions);
    }

    void checkTenant(const Tenant &tenant)
    {
        checkNewName("tenant", tenant.name, m_tenants);
        checkHomeRegions(3, tenant.homeRegions);
    }

    void checkStop(const PlannedStop &stop)
    {
        checkNewName("planned stop", stop.id, m_stops);
        if (stop.scope == StopScope::Target)
            checkReference(4, "target", stop.name, m_targets);
        else if (stop.scope == StopScope::FailureDomain)
            checkReference(4, "failure domain", stop.name, m_domains);
        else if (!isName(stop.name))
            report(4, "instance name must be 1 to 64 characters of A-Z a-z 0-9 . _ -");
        if (stop.start < kEarliestStop || stop.start >= kLatestStop)
            report(5, "start is not in the years 2000 to 2199");
        if (stop.end < kEarliestStop || stop.end >= kLatestStop)
            report(6, "end is not in the years 2000 to 2199");
        else if (stop.end <= stop.start)
            report(6, "end is not after start");
    }

    const EstateData &m_data;
    EstateObject m_object = EstateObject::Region;
    std::size_t m_index = 0;
    std::vector<EstateFault> m_faults;
    StringSet m_regions;
    StringSet m_domains;
    StringSet m_services;
    StringSet m_targets;
    StringSet m_addresses;
    StringSet m_routes;
    StringSet m_tenants;
    StringSet m_stops;
};

} // namespace

std::vector<EstateFault> findEstateFaults(const EstateData &data)
{
    return EstateChecker(data).run();
}

std::vector<std::string> validateEstate(const EstateData &data)
{
    std::vector<std::string> messages;
    for (EstateFault &fault : findEstateFaults(data))
        messages.push_back(std::move(fault.message));
    return messages;
}

} // namespace lycheebay
