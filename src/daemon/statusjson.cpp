#include "daemon/statuspage.h"

#include "base/seconds.h"
#include "entry/cell.h"

#include <nlohmann/json.hpp>

namespace lycheebay {

namespace {

using Json = nlohmann::json;

Json targetJson(const TargetStatus &target)
{
    return { { "id", target.id },
             { "address", target.address.toString() },
             { "slots", target.slots },
             { "limit", target.limit },
             { "outstanding", target.outstanding },
             { "latencyMs", toMilliseconds(target.recentLatency) },
             { "acceptsWork", target.acceptsWork },
             { "cold", target.cold },
             { "ejected", target.ejected },
             { "draining", target.draining },
             { "reason", target.reason },
             { "probes", target.probes } };
}

Json cellJson(const std::string &service, const Cell &cell, const StatusReport &report)
{
    const Member *owner =
            report.plan ? report.plan->dispatcher(service, report.self.region) : nullptr;
    Json json{ { "service", service },
               { "region", report.self.region },
               { "owner", cell.role() == DispatchRole::Owner },
               { "dispatcher", owner ? owner->identity.instanceId : "" },
               { "queued", cell.queuedCount() },
               { "targets", Json::array() } };
    if (cell.role() == DispatchRole::Owner) {
        for (const TargetStatus &target : cell.status())
            json["targets"].push_back(targetJson(target));
    }
    return json;
}

Json rosterJson(const std::vector<RosterMember> &roster)
{
    Json json = Json::array();
    for (const RosterMember &member : roster) {
        json.push_back({ { "instance", member.instanceId },
                         { "incarnation", member.incarnation },
                         { "region", member.region },
                         { "failureDomain", member.failureDomain },
                         { "http", member.http.toString() } });
    }
    return json;
}

Json peersJson(const std::vector<PeerStatus> &peers)
{
    Json json = Json::array();
    for (const PeerStatus &peer : peers) {
        json.push_back({ { "instance", peer.instanceId },
                         { "region", peer.region },
                         { "failureDomain", peer.failureDomain },
                         { "alive", peer.state == MemberState::Alive },
                         { "leaving", peer.leaving },
                         { "linked", peer.linked },
                         { "bytesIn", peer.bytesIn },
                         { "bytesOut", peer.bytesOut } });
    }
    return json;
}

} // namespace

std::string renderStatusJson(const StatusReport &report)
{
    Json json{ { "instance", report.self.instanceId },
               { "region", report.self.region },
               { "failureDomain", report.self.failureDomain },
               { "incarnation", report.self.incarnation },
               { "ready", report.ready },
               { "leaving", report.leaving },
               { "leaseValid", report.leaseValid },
               { "openConnections", report.openConnections },
               { "outcomeEntries", report.outcomeEntries },
               { "outcomeBytes", report.outcomeBytes },
               { "crashSuspects", report.crashSuspects },
               { "invariantViolations", report.invariantViolations },
               { "peers", peersJson(report.peers) },
               { "cells", Json::array() } };
    if (report.configuration) {
        json["revision"] = report.configuration->revision();
        json["nextOffset"] = report.configuration->nextOffset();
        json["roster"] = rosterJson(report.configuration->roster());
    }
    for (const auto &[service, cell] : report.cells)
        json["cells"].push_back(cellJson(service, *cell, report));
    // Names come from outside, so bytes that are not UTF-8 are replaced instead of thrown at.
    return json.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace lycheebay
