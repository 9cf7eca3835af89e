#include "standins/target/controlserver.h"

namespace lycheebay::standins {

using nlohmann::json;

namespace {

constexpr char kTargetsPrefix[] = "/control/targets/";
constexpr char kDomainsPrefix[] = "/control/domains/";
constexpr char kAllTargets[] = "*";

bool matches(const TargetSpec &spec, const std::string &path)
{
    return path == kTargetsPrefix + spec.id || path == std::string(kTargetsPrefix) + kAllTargets
           || path == kDomainsPrefix + spec.failureDomain;
}

} // namespace

ControlServer::ControlServer(asio::io_context &context,
                             std::vector<std::unique_ptr<TargetStandin>> &targets,
                             RunRecord &runRecord)
    : m_targets(targets)
    , m_runRecord(runRecord)
    , m_http(context, [this](const HttpConnectionPtr &connection, const HttpRequest &request) {
        connection->respond(route(request));
    })
{}

HttpResponse ControlServer::route(const HttpRequest &request)
{
    if (request.method == "PUT")
        return controlTargets(request.path, request.body);
    if (request.method == "POST" && request.path == "/control/reset")
        return reset();
    if (request.method == "GET" && request.path == "/control/report")
        return report();
    if (request.method == "GET" && request.path == "/control/runs") {
        const std::string key = request.queryValue("key");
        return jsonResponse(key.empty() ? m_runRecord.allRuns() : m_runRecord.runs(key));
    }
    return errorResponse(404, "no such resource");
}

HttpResponse ControlServer::controlTargets(const std::string &path, const std::string &text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return errorResponse(400, "expected a JSON object");
    int changed = 0;
    for (const auto &it : m_targets) {
        if (!matches(it->spec(), path))
            continue;
        const absl::Status status = it->control(body);
        if (!status.ok())
            return errorResponse(400, std::string(status.message()));
        ++changed;
    }
    if (changed == 0)
        return errorResponse(404, "no such target or failure domain");
    return jsonResponse({ { "changed", changed } });
}

HttpResponse ControlServer::report() const
{
    json targets = json::object();
    json totals = json::object();
    json violations = json::object();
    for (const auto &it : m_targets) {
        const json report = it->report();
        for (const char *name : { "requests", "started", "notRun", "cancelled", "probes",
                                  "connections", "connectionsRefused", "crashes" })
            totals[name] = totals.value(name, std::uint64_t(0)) + report[name].get<std::uint64_t>();
        for (const auto &[name, count] : report["violations"].items())
            violations[name] =
                    violations.value(name, std::uint64_t(0)) + count.get<std::uint64_t>();
        targets[it->spec().id] = report;
    }
    return jsonResponse({ { "targets", targets },
                          { "totals", totals },
                          { "violations", violations },
                          { "failureDomains", m_runRecord.failureDomains() },
                          { "doubled", m_runRecord.doubled() } });
}

HttpResponse ControlServer::reset()
{
    m_runRecord.reset();
    for (const auto &it : m_targets)
        it->resetReport();
    return jsonResponse(json::object());
}

} // namespace lycheebay::standins
