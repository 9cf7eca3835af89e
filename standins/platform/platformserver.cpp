#include "standins/platform/platformserver.h"

#include <charconv>

namespace lycheebay::standins {

using nlohmann::json;

namespace {

constexpr std::size_t kDefaultReadRecords = 100;
constexpr std::size_t kMaxReadRecords = 1000;
/// Appends above the rate are accepted in a burst of this length.
constexpr double kBurstSeconds = 0.25;

constexpr NumberField<PlatformFaults> kFaultFields[] = {
    { "down", &PlatformFaults::down },
    { "slowMs", &PlatformFaults::slowMs },
    { "loseAnswers", &PlatformFaults::loseAnswers },
    { "failEvery", &PlatformFaults::failEvery },
    { "retainRecords", &PlatformFaults::retainRecords },
    { "listLagMs", &PlatformFaults::listLagMs },
};

std::chrono::steady_clock::duration milliseconds(double count)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(count * 1000));
}

bool parseNumber(const std::string &text, std::uint64_t defaultValue, std::uint64_t &value)
{
    value = defaultValue;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return text.empty() || (parsed.ec == std::errc() && parsed.ptr == end);
}

/// Returns the middle of "<prefix><middle><suffix>", or an empty string.
std::string between(const std::string &path, const std::string &prefix, const std::string &suffix)
{
    if (!path.starts_with(prefix) || !path.ends_with(suffix)
        || path.size() <= prefix.size() + suffix.size())
        return std::string();
    return path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
}

} // namespace

PlatformServer::PlatformServer(asio::io_context &context, double appendsPerSecond,
                               PlatformFaults faults)
    : m_context(context)
    , m_http(context, [this](const HttpConnectionPtr &connection,
                             const HttpRequest &request) { handle(connection, request); })
    , m_faults(faults)
    , m_appendsPerSecond(appendsPerSecond)
    , m_appendTokens(appendsPerSecond * kBurstSeconds)
    , m_lastRefill(std::chrono::steady_clock::now())
{
    m_store.setRetention(static_cast<std::size_t>(m_faults.retainRecords));
    m_listVersions.push_back({ Time(), {} });
}

void PlatformServer::handle(const HttpConnectionPtr &connection, const HttpRequest &request)
{
    if (request.path == "/faults") {
        connection->respond(handleFaults(request));
        return;
    }
    if (m_faults.down != 0) {
        connection->close();
        return;
    }
    ++m_requests;
    const auto failEvery = static_cast<std::uint64_t>(m_faults.failEvery);
    if (failEvery > 0 && m_requests % failEvery == 0) {
        respond(connection, errorResponse(503, "injected failure"));
        return;
    }
    m_loseThisAnswer = false;
    HttpResponse response = route(request);
    if (m_loseThisAnswer)
        connection->close();
    else
        respond(connection, std::move(response));
}

void PlatformServer::respond(const HttpConnectionPtr &connection, HttpResponse response)
{
    if (m_faults.slowMs <= 0) {
        connection->respond(std::move(response));
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, milliseconds(m_faults.slowMs));
    timer->async_wait([connection, timer, response = std::move(response)](asio::error_code) {
        connection->respond(response);
    });
}

HttpResponse PlatformServer::route(const HttpRequest &request)
{
    const std::string stream = between(request.path, "/streams/", "/records");
    const std::string instance = between(request.path, "/instances/", "");
    if (!stream.empty() && request.method == "POST")
        return append(stream, request.body);
    if (!stream.empty() && request.method == "GET")
        return read(stream, request);
    if (request.path == "/instances" && request.method == "GET")
        return listInstances();
    if (!instance.empty() && (request.method == "PUT" || request.method == "DELETE"))
        return changeInstance(instance, request);
    return errorResponse(404, "no such resource");
}

HttpResponse PlatformServer::handleFaults(const HttpRequest &request)
{
    if (request.method == "PUT") {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return errorResponse(400, "expected a JSON object");
        PlatformFaults changed = m_faults;
        for (const auto &[name, value] : body.items()) {
            if (!setNumber(changed, kFaultFields, name, value))
                return errorResponse(400, "unknown field or not a number: " + name);
        }
        m_faults = changed;
        m_store.setRetention(static_cast<std::size_t>(m_faults.retainRecords));
    } else if (request.method != "GET") {
        return errorResponse(405, "use GET or PUT");
    }
    json faults = json::object();
    for (const auto &it : kFaultFields)
        faults[it.name] = m_faults.*it.member;
    faults["down"] = m_faults.down != 0;
    return jsonResponse(faults);
}

HttpResponse PlatformServer::append(const std::string &stream, const std::string &body)
{
    const json record = json::parse(body, nullptr, false);
    if (!record.is_object() || !record.contains("data") || !record["data"].is_string())
        return errorResponse(400, "expected {\"data\": string}");
    if (!takeAppendToken())
        return errorResponse(503, "append rate exceeded");
    const std::uint64_t offset = m_store.append(stream, record["data"].get<std::string>());
    if (m_faults.loseAnswers >= 1) {
        m_faults.loseAnswers -= 1;
        m_loseThisAnswer = true;
    }
    return jsonResponse({ { "offset", offset } });
}

HttpResponse PlatformServer::read(const std::string &stream, const HttpRequest &request)
{
    std::uint64_t from = 0;
    std::uint64_t maxRecords = 0;
    if (!parseNumber(request.queryValue("from"), 1, from)
        || !parseNumber(request.queryValue("max"), kDefaultReadRecords, maxRecords))
        return errorResponse(400, "from and max must be numbers");
    const auto batch = m_store.read(stream, from, std::min(maxRecords, kMaxReadRecords));
    if (!batch.ok())
        return jsonResponse({ { "first", m_store.first(stream) } }, 410);
    json records = json::array();
    for (const LogRecord &it : batch->records)
        records.push_back({ { "offset", it.offset }, { "data", it.data } });
    return jsonResponse(
            { { "first", batch->first }, { "next", batch->next }, { "records", records } });
}

HttpResponse PlatformServer::listInstances()
{
    const Time horizon = std::chrono::steady_clock::now() - milliseconds(m_faults.listLagMs);
    const ListVersion *shown = &m_listVersions.front();
    for (const ListVersion &it : m_listVersions) {
        if (it.since <= horizon)
            shown = &it;
    }
    json instances = json::array();
    for (const auto &[id, instance] : shown->instances)
        instances.push_back(instance);
    return jsonResponse({ { "instances", instances } });
}

HttpResponse PlatformServer::changeInstance(const std::string &id, const HttpRequest &request)
{
    // Bounds the history of the list; older versions only matter for a lag of several minutes.
    constexpr std::size_t kMaxListVersions = 1000;

    ListVersion version{ std::chrono::steady_clock::now(), m_listVersions.back().instances };
    if (request.method == "DELETE") {
        version.instances.erase(id);
    } else {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return errorResponse(400, "expected a JSON object");
        const json address = body.value("address", json());
        const json state = body.value("state", json("live"));
        if (!address.is_string() || (state != "live" && state != "leaving"))
            return errorResponse(400, "expected address, and state live or leaving");
        version.instances[id] = { { "id", id }, { "address", address }, { "state", state } };
    }
    m_listVersions.push_back(std::move(version));
    if (m_listVersions.size() > kMaxListVersions)
        m_listVersions.pop_front();
    return jsonResponse(json::object());
}

bool PlatformServer::takeAppendToken()
{
    const Time now = std::chrono::steady_clock::now();
    const double elapsed = std::chrono::duration<double>(now - m_lastRefill).count();
    m_lastRefill = now;
    m_appendTokens = std::min(m_appendsPerSecond * kBurstSeconds,
                              m_appendTokens + elapsed * m_appendsPerSecond);
    if (m_appendTokens < 1)
        return false;
    m_appendTokens -= 1;
    return true;
}

} // namespace lycheebay::standins
