#pragma once

#include "daemon/configurationservice.h"
#include "daemon/statuspage.h"
#include "outcomes/httpmessage.h"

#include <functional>
#include <optional>

namespace lycheebay {

/// What the administration interface reads.
struct AdminSources
{
    std::function<StatusReport()> status;
    std::function<std::string()> metrics;
    const Blackboard *board = nullptr;
    std::uint64_t incarnation = 0;
    ConfigurationService *configuration = nullptr;
};

/// Answers /metrics, /healthz, /readyz, /status and /admin/v1/... Thread-safe.
class AdminApi
{
public:
    explicit AdminApi(AdminSources sources);

    /// Returns null for a path that is not of the administration interface. Blocks while a change
    /// is published.
    std::optional<HttpResponse> handle(const HttpRequest &request) const;

private:
    HttpResponse health(const HttpRequest &request) const;
    HttpResponse readiness(const HttpRequest &request) const;
    HttpResponse metrics(const HttpRequest &request) const;
    HttpResponse statusPage(const HttpRequest &request) const;
    HttpResponse status(const HttpRequest &request) const;
    HttpResponse revision(const HttpRequest &request) const;
    HttpResponse sheet(const HttpRequest &request) const;
    HttpResponse audit(const HttpRequest &request) const;
    HttpResponse explain(const HttpRequest &request) const;
    HttpResponse publish(const HttpRequest &request) const;

    struct Resource
    {
        const char *method;
        const char *path;
        HttpResponse (AdminApi::*answer)(const HttpRequest &request) const;
    };
    static const std::vector<Resource> &resources();

    const AdminSources m_sources;
};

} // namespace lycheebay
