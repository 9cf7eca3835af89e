#include "daemon/explain.h"

#include "entry/cell.h"
#include "outcomes/httpmessage.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lycheebay {

namespace {

using Json = nlohmann::json;

std::string ruledOutBy(const Estate &estate, const Target &target, WallTime now)
{
    if (target.drained)
        return "the target is drained";
    const FailureDomain *domain = estate.findFailureDomain(target.failureDomain);
    if (domain && domain->drained)
        return "its failure domain is drained";
    if (!estate.acceptsWork(target, now, Duration{}))
        return "it is in a planned stop";
    return {};
}

Json explainTargets(const StatusReport &report, const std::string &service)
{
    Json targets = Json::array();
    const Estate &estate = *report.configuration->estate();
    const auto it = report.cells.find(service);
    const bool owner = it != report.cells.end() && it->second->role() == DispatchRole::Owner;
    std::vector<TargetStatus> statuses;
    if (owner)
        statuses = it->second->status();
    for (const Target *target : estate.cellTargets(service, report.self.region)) {
        std::string reason = ruledOutBy(estate, *target, report.now);
        Json json{ { "id", target->id }, { "failureDomain", target->failureDomain } };
        const auto status = std::find_if(statuses.begin(), statuses.end(),
                                         [&](const auto &s) { return s.id == target->id; });
        if (status != statuses.end()) {
            if (reason.empty())
                reason = status->reason;
            json["freeSlots"] = std::max(0, status->limit - status->outstanding);
        }
        json["ruledOutBy"] = reason;
        targets.push_back(json);
    }
    return targets;
}

Json homeRegionsOf(const Route &route, const Tenant *tenant)
{
    if (!tenant || tenant->homeRegions.empty())
        return route.homeRegions;
    if (route.homeRegions.empty())
        return tenant->homeRegions;
    Json both = Json::array();
    for (const std::string &region : route.homeRegions) {
        const auto &homes = tenant->homeRegions;
        if (std::find(homes.begin(), homes.end(), region) != homes.end())
            both.push_back(region);
    }
    return both;
}

} // namespace

ExplainQuestion parseExplainQuestion(std::string_view target)
{
    ExplainQuestion question;
    question.service = queryValue(target, "service").value_or(question.service);
    question.method = queryValue(target, "method").value_or(question.method);
    question.path = queryValue(target, "path").value_or(question.path);
    question.tenant = queryValue(target, "tenant").value_or(question.tenant);
    return question;
}

std::string explainRequest(const StatusReport &report, const ExplainQuestion &question)
{
    const Estate &estate = *report.configuration->estate();
    Json json{ { "service", question.service },
               { "entry", report.self.instanceId },
               { "region", report.self.region } };
    const Route *route = estate.findRoute(question.service, question.method, question.path);
    if (!route) {
        json["refused"] =
                estate.hasService(question.service) ? "no route matches" : "unknown service";
        return json.dump(2, ' ', false, Json::error_handler_t::replace);
    }
    const Tenant *tenant = estate.findTenant(question.tenant);
    const Member *owner =
            report.plan ? report.plan->dispatcher(question.service, report.self.region) : nullptr;
    json["route"] = { { "method", route->method },
                      { "pathPrefix", route->pathPrefix },
                      { "idempotent", route->idempotent },
                      { "weight", route->weight } };
    json["homeRegions"] = homeRegionsOf(*route, tenant);
    json["dispatcher"] = owner ? owner->identity.instanceId : "";
    json["dispatcherAddress"] = owner ? owner->identity.http.toString() : "";
    json["targets"] = explainTargets(report, question.service);
    return json.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace lycheebay
