#pragma once

#include "blackboard/topic.h"
#include "gateway/estateview.h"
#include "gateway/gatewayconfiguration.h"

namespace lycheebay {

/// What the gateway knows about its surroundings. Followers of the platform write it, the request
/// path and the address answers read it. Each topic is thread-safe.
struct GatewayBlackboard
{
    Topic<GatewayConfiguration> configuration;
    Topic<TargetList> targets;
    Topic<DrainedDomains> drainedDomains;
    Topic<InstanceList> instances;
};

} // namespace lycheebay
