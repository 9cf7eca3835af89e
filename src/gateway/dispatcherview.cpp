#include "gateway/dispatcherview.h"

#include <algorithm>
#include <map>

namespace lycheebay {

namespace {

bool isDrained(const DispatchInputs &inputs, const std::string &failureDomain)
{
    const auto &domains = inputs.drained.domains;
    return std::find(domains.begin(), domains.end(), failureDomain) != domains.end();
}

Proximity proximityOf(const DispatchInputs &inputs, const DispatcherIdentity &self,
                      const std::string &failureDomain)
{
    if (failureDomain == self.failureDomain)
        return Proximity::SameDomain;
    return regionOf(inputs.regions, failureDomain) == regionOf(inputs.regions, self.failureDomain)
                   ? Proximity::SameRegion
                   : Proximity::OtherRegion;
}

} // namespace

std::string regionOf(const DomainRegions &regions, const std::string &failureDomain)
{
    const auto it = regions.find(failureDomain);
    return it == regions.end() ? std::string() : it->second;
}

std::vector<PoolTarget> poolTargets(const DispatchInputs &inputs, const TargetOwnership &ownership,
                                    const std::string &service, const DispatcherIdentity &self)
{
    std::vector<PoolTarget> selected;
    for (const TargetRecord &it : inputs.targets.targets) {
        if (it.service != service)
            continue;
        Proximity proximity = proximityOf(inputs, self, it.failureDomain);
        const GatewayInstance *owner = ownership.ownerOf(it);
        if (proximity == Proximity::SameDomain && owner && owner->id == self.instanceId)
            proximity = Proximity::Owned;
        selected.push_back({ it, regionOf(inputs.regions, it.failureDomain), proximity,
                             isDrained(inputs, it.failureDomain) });
    }
    return selected;
}

std::vector<RemoteDispatcher> remoteDispatchers(const DispatchInputs &inputs,
                                                const TargetOwnership &ownership,
                                                const std::string &service,
                                                const DispatcherIdentity &self)
{
    std::map<std::string, RemoteDispatcher> dispatchers;
    for (const TargetRecord &it : inputs.targets.targets) {
        const GatewayInstance *owner = ownership.ownerOf(it);
        const bool usable = it.service == service && !it.leaving && owner
                            && owner->id != self.instanceId && !isDrained(inputs, it.failureDomain);
        if (!usable)
            continue;
        RemoteDispatcher &dispatcher = dispatchers[owner->id];
        dispatcher.instanceId = owner->id;
        dispatcher.address = owner->address;
        dispatcher.region = regionOf(inputs.regions, it.failureDomain);
        dispatcher.proximity = proximityOf(inputs, self, it.failureDomain);
        dispatcher.slots += it.slots;
    }
    std::vector<RemoteDispatcher> selected;
    selected.reserve(dispatchers.size());
    for (auto &[id, dispatcher] : dispatchers)
        selected.push_back(std::move(dispatcher));
    return selected;
}

} // namespace lycheebay
