#include "daemon/adminapi.h"

#include "configuration/changeapplier.h"
#include "daemon/explain.h"
#include "estate/difference.h"
#include "estate/sheet.h"
#include "transport/problem.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace lycheebay {

namespace {

using Json = nlohmann::json;

HttpResponse textResponse(int status, const char *type, std::string body)
{
    return { status, { { "Content-Type", type } }, std::move(body) };
}

HttpResponse jsonResponse(const Json &json)
{
    return textResponse(200, "application/json",
                        json.dump(2, ' ', false, Json::error_handler_t::replace));
}

HttpResponse refusal(int status, std::string reason)
{
    return problemResponse("not-run", { status, std::move(reason), {} });
}

HttpResponse refusal(const absl::Status &status)
{
    const std::string reason(status.message());
    if (absl::IsUnavailable(status))
        return refusal(503, reason);
    if (absl::IsUnknown(status))
        return problemResponse("unknown", { 502, reason, {} });
    return refusal(400, reason);
}

Json auditJson(const AuditEntry &entry)
{
    return { { "offset", entry.offset },
             { "changeId", entry.changeId },
             { "author", entry.author },
             { "time", fmt::format("{:%FT%TZ}", entry.time) },
             { "baseRevision", entry.baseRevision },
             { "kind", entry.kind },
             { "summary", entry.summary },
             { "accepted", entry.accepted },
             { "reason", entry.reason } };
}

Json publishJson(const PublishReport &report, const std::vector<std::string> &difference)
{
    return { { "offset", report.appendedAt },
             { "accepted", report.outcome == PublishOutcome::Accepted },
             { "reason", report.reason },
             { "conflictsWith", report.conflictsWith },
             { "difference", difference } };
}

/// What a change would become if it were the next record.
struct Rehearsal
{
    PublishReport report;
    std::vector<std::string> difference;
};

Rehearsal rehearse(const ConfigurationState &state, const Change &change, const std::string &record)
{
    ChangeApplier applier(state);
    applier.apply({ state.nextOffset(), record });
    const auto after = applier.state();
    Rehearsal rehearsal;
    rehearsal.difference = describeDifference(state.estate()->data(), after->estate()->data());
    for (const SeenChange &seen : after->history().seen) {
        if (seen.id == change.id) {
            rehearsal.report.outcome =
                    seen.accepted ? PublishOutcome::Accepted : PublishOutcome::Rejected;
            rehearsal.report.conflictsWith = seen.conflictsWith;
        }
    }
    if (!after->audit().empty())
        rehearsal.report.reason = after->audit().back().reason;
    return rehearsal;
}

} // namespace

AdminApi::AdminApi(AdminSources sources)
    : m_sources(std::move(sources))
{}

const std::vector<AdminApi::Resource> &AdminApi::resources()
{
    static const std::vector<Resource> kResources{
        { "GET", "/healthz", &AdminApi::health },
        { "GET", "/readyz", &AdminApi::readiness },
        { "GET", "/metrics", &AdminApi::metrics },
        { "GET", "/status", &AdminApi::statusPage },
        { "GET", "/admin/v1/status", &AdminApi::status },
        { "GET", "/admin/v1/revision", &AdminApi::revision },
        { "GET", "/admin/v1/sheet", &AdminApi::sheet },
        { "GET", "/admin/v1/audit", &AdminApi::audit },
        { "GET", "/admin/v1/explain", &AdminApi::explain },
        { "POST", "/admin/v1/changes", &AdminApi::publish },
    };
    return kResources;
}

std::optional<HttpResponse> AdminApi::handle(const HttpRequest &request) const
{
    bool pathKnown = request.path().starts_with("/admin/");
    for (const Resource &resource : resources()) {
        if (request.path() != resource.path)
            continue;
        pathKnown = true;
        if (request.method == resource.method)
            return (this->*resource.answer)(request);
    }
    if (!pathKnown)
        return std::nullopt;
    return refusal(404, "no such administration resource");
}

HttpResponse AdminApi::health(const HttpRequest &) const
{
    return textResponse(200, "text/plain", "ok\n");
}

HttpResponse AdminApi::readiness(const HttpRequest &) const
{
    const StatusReport report = m_sources.status();
    if (report.ready)
        return textResponse(200, "text/plain", "ready\n");
    if (report.leaving)
        return refusal(503, "leaving");
    return refusal(503, report.leaseValid ? "not in the roster yet"
                                          : "the configuration is not attested");
}

HttpResponse AdminApi::metrics(const HttpRequest &) const
{
    return textResponse(200, "text/plain; version=0.0.4", m_sources.metrics());
}

HttpResponse AdminApi::statusPage(const HttpRequest &) const
{
    return textResponse(200, "text/html; charset=utf-8", renderStatusPage(m_sources.status()));
}

HttpResponse AdminApi::status(const HttpRequest &) const
{
    return textResponse(200, "application/json", renderStatusJson(m_sources.status()));
}

HttpResponse AdminApi::revision(const HttpRequest &) const
{
    // Operators' commands poll this on every entry, so it does not collect the whole status.
    const auto state = m_sources.board->configuration.read();
    return textResponse(200, "text/plain",
                        fmt::format("{} {} {}\n", state->revision(), m_sources.incarnation,
                                    state->nextOffset()));
}

HttpResponse AdminApi::sheet(const HttpRequest &) const
{
    const auto state = m_sources.board->configuration.read();
    return textResponse(200, "text/csv; charset=utf-8",
                        writeSheet({ state->revision(), {}, state->estate()->data() }));
}

HttpResponse AdminApi::audit(const HttpRequest &) const
{
    Json entries = Json::array();
    for (const AuditEntry &entry : m_sources.board->configuration.read()->audit())
        entries.push_back(auditJson(entry));
    return jsonResponse(entries);
}

HttpResponse AdminApi::explain(const HttpRequest &request) const
{
    return textResponse(200, "application/json",
                        explainRequest(m_sources.status(), parseExplainQuestion(request.target)));
}

HttpResponse AdminApi::publish(const HttpRequest &request) const
{
    const auto change = decodeChange(request.body);
    if (!change.ok())
        return refusal(change.status());
    if (!isOperatorChange(change->body))
        return refusal(403, "changes of this kind are published by entry instances only");
    const auto state = m_sources.board->configuration.read();
    const Rehearsal rehearsal = rehearse(*state, *change, request.body);
    if (request.target.ends_with("?dryRun=1"))
        return jsonResponse(publishJson(rehearsal.report, rehearsal.difference));
    const auto report = m_sources.configuration->publish(*change);
    if (!report.ok())
        return refusal(report.status());
    if (report->outcome == PublishOutcome::Appended) {
        return problemResponse(
                "unknown",
                { 502, fmt::format("appended at {}, verdict unknown", report->appendedAt), {} });
    }
    return jsonResponse(publishJson(*report, rehearsal.difference));
}

} // namespace lycheebay
