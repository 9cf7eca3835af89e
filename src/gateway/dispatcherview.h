#pragma once

#include "gateway/dispatcherselector.h"
#include "gateway/dispatchplan.h"
#include "gateway/servicepool.h"

#include <string>
#include <vector>

namespace lycheebay {

/// The instance from whose point of view the estate is seen.
struct DispatcherIdentity
{
    std::string instanceId;
    std::string failureDomain;

    auto operator<=>(const DispatcherIdentity &) const = default;
};

/// Returns the region of a failure domain; empty if it is not known. Thread-safe.
std::string regionOf(const DomainRegions &regions, const std::string &failureDomain);

/// Returns the targets of \a service as the ServicePool of \a self needs them. Thread-safe.
std::vector<PoolTarget> poolTargets(const DispatchInputs &inputs, const TargetOwnership &ownership,
                                    const std::string &service, const DispatcherIdentity &self);

/// Returns the other instances that own usable targets of \a service. Thread-safe.
std::vector<RemoteDispatcher> remoteDispatchers(const DispatchInputs &inputs,
                                                const TargetOwnership &ownership,
                                                const std::string &service,
                                                const DispatcherIdentity &self);

} // namespace lycheebay
