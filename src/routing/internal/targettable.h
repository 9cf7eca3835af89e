#pragma once

#include "base/stringmap.h"
#include "routing/internal/targetstate.h"

#include <memory>
#include <span>
#include <vector>

namespace lycheebay {

/// The targets of a cell, and the rule how many of them may be ejected. Not thread-safe.
class TargetTable
{
public:
    TargetTable(double maxEjectedShare, double probeShare, Duration probeCost)
        : m_maxEjectedShare(maxEjectedShare)
        , m_probeShare(probeShare)
        , m_probeCost(probeCost)
    {}

    /// Replaces the list; targets with attempts in flight stay until those are completed.
    void update(const std::vector<TargetSpec> &specs, TimePoint now);
    /// Forgets a target that is no longer listed and has nothing in flight.
    void releaseIfGone(TargetState &target);

    TargetState *find(std::string_view id) const;
    std::span<TargetState *const> listed() const { return m_listed; }

    /// Ejects \a target unless too many are ejected; then only in place of a better one.
    void eject(TargetState &target, TimePoint now);
    /// Ejects \a target by a peer's verdict when the share allows it.
    void adoptEjection(TargetState &target, int ejections, TimePoint nextTrial);
    /// Puts the least bad ejected targets back into service while too many are ejected.
    void enforceEjectedShare(TimePoint now);
    /// Puts \a target back into service at its cold limit.
    static void readmit(TargetState &target, TimePoint now);

private:
    struct EjectedCount
    {
        std::size_t ejected = 0;
        std::size_t allowed = 0;
        TargetState *leastBad = nullptr;
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
