#pragma once

#include "standins/common/controlapi.h"
#include "standins/platform/streamstore.h"

#include <chrono>
#include <deque>

namespace lycheebay::standins {

/// Faults that PUT /faults sets.
struct PlatformFaults
{
    /// Closes every connection that sends a request other than /faults, without effect.
    double down = 0;
    double slowMs = 0;
    /// The next n appends take effect, but the connection is closed in place of an answer.
    double loseAnswers = 0;
    /// Every n-th request is answered with 503, without effect; 0 is never.
    double failEvery = 0;
    /// Records kept in each stream; 0 keeps all.
    double retainRecords = 0;
    double listLagMs = 0;
};

/// The platform's HTTP API over one listening address, on the thread that runs the io_context.
class PlatformServer
{
public:
    PlatformServer(asio::io_context &context, double appendsPerSecond, PlatformFaults faults);

    absl::Status listen(const Address &address) { return m_http.listen(address); }
    std::uint16_t port() const { return m_http.port(); }

private:
    using Time = std::chrono::steady_clock::time_point;
    using InstanceMap = std::map<std::string, nlohmann::json>;

    struct ListVersion
    {
        Time since;
        InstanceMap instances;
    };

    void handle(const HttpConnectionPtr &connection, const HttpRequest &request);
    void respond(const HttpConnectionPtr &connection, HttpResponse response);
    HttpResponse route(const HttpRequest &request);
    HttpResponse handleFaults(const HttpRequest &request);
    HttpResponse append(const std::string &stream, const std::string &body);
    HttpResponse read(const std::string &stream, const HttpRequest &request);
    HttpResponse listInstances();
    HttpResponse changeInstance(const std::string &id, const HttpRequest &request);
    bool takeAppendToken();

    asio::io_context &m_context;
    HttpServer m_http;
    StreamStore m_store;
    PlatformFaults m_faults;
    std::deque<ListVersion> m_listVersions;
    double m_appendsPerSecond;
    double m_appendTokens = 0;
    Time m_lastRefill;
    std::uint64_t m_requests = 0;
    bool m_loseThisAnswer = false;
};

} // namespace lycheebay::standins
