#pragma once

#include "base/iclock.h"
#include "configuration/iconfigurationlease.h"
#include "entry/blackboard.h"
#include "entry/entrycounters.h"
#include "transport/peernodetypes.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheebay {

class Cell;

/// Everything that the status page and the status query show, read at one time.
struct StatusReport
{
    RosterMember self;
    bool leaving = false;
    bool leaseValid = false;
    bool ready = false;
    WallTime now;
    IntrusivePtr<const ConfigurationState> configuration;
    IntrusivePtr<const CellPlan> plan;
    std::map<std::string, std::shared_ptr<Cell>> cells;
    std::vector<PeerStatus> peers;
    std::size_t openConnections = 0;
    std::size_t outcomeEntries = 0;
    std::size_t outcomeBytes = 0;
    std::size_t crashSuspects = 0;
    std::uint64_t invariantViolations = 0;
};

/// Renders the report for a browser. Thread-safe.
std::string renderStatusPage(const StatusReport &report);
/// Renders the report as a JSON document. Thread-safe.
std::string renderStatusJson(const StatusReport &report);

} // namespace lycheebay
