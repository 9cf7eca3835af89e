#include "estate/internal/sheetrows.h"
#include "estate/internal/text.h"
#include "estate/sheet.h"

#include <csv.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace lycheebay {

namespace {

std::string csvField(const std::string &text)
{
    if (text.find_first_of("\", \t#") == std::string::npos)
        return text;
    // Each byte may become two, and two quotes surround the field.
    std::string quoted(2 * text.size() + 2, '\0');
    quoted.resize(csv_write(quoted.data(), quoted.size(), text.data(), text.size()));
    return quoted;
}

std::string csvRow(const std::vector<std::string> &fields)
{
    std::string row;
    for (const std::string &field : fields) {
        if (!row.empty())
            row += ',';
        row += csvField(field);
    }
    return row;
}

std::string listField(const std::vector<std::string> &names)
{
    return fmt::format("{}", fmt::join(names, " "));
}

const char *drainField(bool drained)
{
    return drained ? "drained" : "active";
}

const char *scopeField(StopScope scope)
{
    if (scope == StopScope::Target)
        return "target";
    return scope == StopScope::FailureDomain ? "domain" : "instance";
}

SheetRow targetRow(const Target &target)
{
    return { "target " + target.id,
             csvRow({ "target", target.id, target.service, target.failureDomain,
                      target.address.toString(), std::to_string(target.slots),
                      std::to_string(target.coldLimit), std::to_string(target.maxConnections),
                      drainField(target.drained) }) };
}

SheetRow routeRow(const Route &route)
{
    return { fmt::format("route {} {} {}", route.service, route.method, route.pathPrefix),
             csvRow({ "route", route.service, route.method, route.pathPrefix,
                      route.idempotent ? "idempotent" : "non-idempotent",
                      std::to_string(route.weight), listField(route.homeRegions) }) };
}

SheetRow stopRow(const PlannedStop &stop)
{
    return { "stop " + stop.id, csvRow({ "stop", stop.id, scopeField(stop.scope), stop.name,
                                         formatWallTime(stop.start), formatWallTime(stop.end) }) };
}

} // namespace

std::vector<SheetRow> sheetRows(const EstateData &data)
{
    std::vector<SheetRow> rows;
    for (const std::string &region : data.regions)
        rows.push_back({ "region " + region, csvRow({ "region", region }) });
    for (const FailureDomain &domain : data.failureDomains) {
        rows.push_back({ "domain " + domain.name, csvRow({ "domain", domain.name, domain.region,
                                                           drainField(domain.drained) }) });
    }
    for (const std::string &service : data.services)
        rows.push_back({ "service " + service, csvRow({ "service", service }) });
    for (const Target &target : data.targets)
        rows.push_back(targetRow(target));
    for (const Route &route : data.routes)
        rows.push_back(routeRow(route));
    for (const Tenant &tenant : data.tenants) {
        rows.push_back({ "tenant " + tenant.name,
                         csvRow({ "tenant", tenant.name, listField(tenant.homeRegions) }) });
    }
    for (const PlannedStop &stop : data.plannedStops)
        rows.push_back(stopRow(stop));
    return rows;
}

std::string writeSheet(const Sheet &sheet)
{
    std::vector<std::string> header{ "lycheebay-sheet", "1", std::to_string(sheet.baseRevision) };
    if (!sheet.supersedes.empty())
        header.push_back(fmt::format("{}", fmt::join(sheet.supersedes, " ")));
    std::string text = csvRow(header) + "\n";
    for (const SheetRow &row : sheetRows(sheet.estate))
        text += row.text + "\n";
    return text;
}

} // namespace lycheebay
