#pragma once

#include "blackboard/topic.h"
#include "configuration/configurationstate.h"
#include "membership/cellplan.h"
#include "platform/platformview.h"

namespace lycheebay {

/// State that the components of one daemon share. Each topic has one writer and any number of
/// readers.
struct Blackboard
{
    /// Written by the configuration follower.
    Topic<ConfigurationState> configuration;
    /// Written by the membership service.
    Topic<CellPlan> plan;
    /// Written by the platform poller.
    Topic<PlatformView> platform;
};

} // namespace lycheebay
