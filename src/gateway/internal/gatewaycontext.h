#pragma once

#include "base/intrusivelist.h"
#include "base/irandomsource.h"
#include "base/itimerservice.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/internal/crashmonitor.h"
#include "gateway/internal/decisionlog.h"
#include "gateway/internal/leavingtargets.h"
#include "gateway/internal/overflowcounter.h"
#include "gateway/itargetprotocol.h"

#include <asio/io_context.hpp>

namespace lycheebay {

class ProxiedRequest;
using ProxiedRequestList = IntrusiveList<ProxiedRequest, ProxiedRequest>;

/// Services shared by the classes of one gateway. All referenced objects outlive the gateway. Not
/// thread-safe: use it on the event loop.
struct GatewayContext
{
    asio::io_context &context;
    ITimerService &timers;
    const IClock &clock;
    IRandomSource &random;
    const ITargetProtocol &protocol;
    GatewayMetrics &metrics;
    DecisionLog &log;
    OverflowCounter &overflow;
    CrashMonitor &crashes;
    LeavingTargets &leavingTargets;
    /// The requests that have not been answered yet.
    ProxiedRequestList &requests;
    /// Region of this instance.
    std::string region;
};

} // namespace lycheebay
