#pragma once

#include "blackboard/topic.h"
#include "gateway/estateview.h"
#include "gateway/gatewayconfiguration.h"

namespace lycheebay {

/// State that the gateway shares between its platform readers, which publish it, and the request
/// path and address answers, which read it. Each topic is thread-safe.
struct GatewayBlackboard
{
    Topic<GatewayConfiguration> configuration;
    Topic<TargetList> targets;
    Topic<DrainedDomains> drainedDomains;
    Topic<InstanceList> instances;
    /// Overflow counted by this instance since the value before.
    Topic<OverflowCounts> overflow;
    Topic<LocalShares> localShares;
    /// What this instance and what others have observed since the value before.
    Topic<InstanceReport> reports;
    Topic<InstanceReport> peerReports;
};

} // namespace lycheebay
