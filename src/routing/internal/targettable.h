#pragma once

#include "base/stringmap.h"
#include "routing/internal/targetstate.h"

#include <memory>
#include <span>
#include <vector>

namespace lycheebay {

/// The targets of a cell; limits how many of them are ejected. Not thread-safe.
class TargetTable
{
public:
    TargetTable(double maxEjectedShare, double probeShare, Duration probeCost)
        : m_maxEjectedShare(maxEjectedShare)
        , m_probeShare(probeShare)
        , m_probeCost(probeCost)
    {}

    /// Replaces the list; removed targets with attempts in flight are kept until these complete.
    void update(const std::vector<TargetSpec> &specs, TimePoint now);
    /// Deletes a target that is no longer listed and has no attempt in flight.
    void removeIfUnused(TargetState &target);

    TargetState *find(std::string_view id) const;
    std::span<TargetState *const> listed() const { return m_listed; }

    /// Ejects \a target. If the maximum share is already ejected, \a target replaces the ejected
    /// one with the lowest failure score, provided that its own score is clearly higher.
    void eject(TargetState &target, TimePoint now);
    /// Ejects \a target by a peer's verdict if the maximum ejected share allows it.
    void adoptEjection(TargetState &target, int ejections, TimePoint nextTrialAt);
    /// Readmits the ejected targets with the lowest failure scores while too many are ejected.
    void enforceEjectedShare(TimePoint now);
    /// Returns \a target to service at its cold limit.
    static void readmit(TargetState &target, TimePoint now);

private:
    struct EjectedCount
    {
        std::size_t ejected = 0;
        std::size_t allowed = 0;
        TargetState *leastFailing = nullptr;
    };

    EjectedCount countEjected() const;
    void add(const TargetSpec &spec, TimePoint now);

    double m_maxEjectedShare;
    double m_probeShare;
    Duration m_probeCost;
    std::uint32_t m_nextOrdinal = 0;
    StringMap<std::unique_ptr<TargetState>> m_targets;
    std::vector<TargetState *> m_listed;
};

} // namespace lycheebay
