#pragma once

#include "base/intrusiveptr.h"
#include "base/stringmap.h"
#include "estate/estatetypes.h"

#include <optional>
#include <string_view>

namespace lycheebay {

/// The operators' description of their services, targets and failure domains. Immutable, so every
/// method is thread-safe. Returned pointers live as long as the estate.
class Estate final : public RefCounted
{
public:
    /// Precondition: \a data passed validateEstate().
    explicit Estate(EstateData data);

    const EstateData &data() const { return m_data; }

    bool hasService(std::string_view name) const;
    // The next three return null for an unknown name.
    const Target *findTarget(std::string_view id) const;
    const FailureDomain *findFailureDomain(std::string_view name) const;
    const Tenant *findTenant(std::string_view name) const;

    /// Returns the route with the longest matching prefix; among equal prefixes, an exact method
    /// goes before "*". Null when none matches.
    const Route *findRoute(std::string_view service, std::string_view method,
                           std::string_view path) const;

    /// Returns the region of a target's failure domain. Precondition: the target is of this estate.
    const std::string &regionOf(const Target &target) const;

    /// Returns the targets of a service in a region, drained ones too.
    std::vector<const Target *> cellTargets(std::string_view service,
                                            std::string_view region) const;

    /// Returns the regions that hold targets of \a service, sorted.
    std::vector<std::string> regionsOf(std::string_view service) const;

    /// Tells whether a target may get new work at \a now: neither it nor its failure domain is
    /// drained or within a planned stop, whose drain begins \a stopLead before its start.
    bool acceptsWork(const Target &target, WallTime now, Duration stopLead) const;

    /// Tells whether an instance is within a planned stop or its lead.
    bool instanceStops(std::string_view instanceId, std::string_view failureDomain, WallTime now,
                       Duration stopLead) const;

    friend bool operator==(const Estate &a, const Estate &b) { return a.m_data == b.m_data; }

private:
    using NameIndex = StringMap<std::size_t>;

    bool stopCovers(StopScope scope, std::string_view name, WallTime now, Duration stopLead) const;

    EstateData m_data;
    NameIndex m_targets;
    NameIndex m_failureDomains;
    NameIndex m_tenants;
    StringSet m_services;
    StringMap<std::vector<std::size_t>> m_serviceTargets;
    StringMap<std::vector<std::size_t>> m_serviceRoutes;
};

/// Returns every fault of \a data in words: unknown references, duplicate names, numbers out of
/// range. Empty when there is none. Thread-safe.
std::vector<std::string> validateEstate(const EstateData &data);

} // namespace lycheebay
