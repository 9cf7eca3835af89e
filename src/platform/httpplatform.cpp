#include "platform/httpplatform.h"

#include "base/log.h"
#include "http/internal/blockingconnection.h"
#include "platform/logstatus.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <variant>

namespace lycheebay {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxIdleConnections = 4;
constexpr std::size_t kMaxStreamName = 64;
constexpr int kHttpGone = 410;
constexpr int kHttpRangeNotSatisfiable = 416;

struct HttpReply
{
    int status = 0;
    std::string body;
};

/// How far a request got that has no response.
enum class HttpFailure {
    NotConnected, ///< no connection, so the platform saw nothing
    Lost,         ///< sent in part or as a whole, no complete response
    TooLarge      ///< the response exceeded the limit
};

struct HttpError
{
    HttpFailure failure = HttpFailure::Lost;
    std::string message;
};

using HttpResult = std::variant<HttpReply, HttpError>;

bool isStreamName(std::string_view name)
{
    return !name.empty() && name.size() <= kMaxStreamName
           && std::all_of(name.begin(), name.end(), [](char c) {
                  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
                         || c == '-' || c == '_';
              });
}

bool hasUnsigned(const json &object, const char *name)
{
    return object.is_object() && object.contains(name) && object[name].is_number_unsigned();
}

bool hasString(const json &object, const char *name)
{
    return object.is_object() && object.contains(name) && object[name].is_string();
}

bool hasArray(const json &object, const char *name)
{
    return object.is_object() && object.contains(name) && object[name].is_array();
}

json parseJson(const std::string &text)
{
    return json::parse(text, nullptr, false);
}

absl::Status malformed(const char *what)
{
    return absl::UnavailableError(fmt::format("the platform sent a malformed {}", what));
}

/// Error of a request that has no effect on the platform.
absl::Status readError(const HttpError &error)
{
    if (error.failure == HttpFailure::TooLarge)
        return absl::ResourceExhaustedError(error.message);
    return absl::UnavailableError(error.message);
}

absl::Status readError(const HttpReply &reply)
{
    return absl::UnavailableError(fmt::format("the platform answered {}", reply.status));
}

absl::StatusOr<LogBatch> parseBatch(const std::string &body, std::uint64_t from)
{
    const json document = parseJson(body);
    if (!hasUnsigned(document, "first") || !hasUnsigned(document, "next")
        || !hasArray(document, "records"))
        return malformed("batch");
    LogBatch batch;
    batch.first = document["first"].get<std::uint64_t>();
    batch.from = from;
    batch.next = document["next"].get<std::uint64_t>();
    if (batch.first > from)
        return offsetDropped(batch.first);
    std::uint64_t lowest = from;
    for (const json &item : document["records"]) {
        if (!hasUnsigned(item, "offset"))
            return malformed("record");
        LogRecord record{ item["offset"].get<std::uint64_t>(), {} };
        // A record without text is no change; the reader notes it as malformed and goes on.
        if (hasString(item, "data"))
            record.data = item["data"].get<std::string>();
        if (record.offset < lowest)
            return malformed("record order");
        lowest = record.offset + 1;
        batch.records.push_back(std::move(record));
    }
    return batch;
}

std::optional<PlatformInstance> parseInstance(const json &item)
{
    if (!hasString(item, "id") || !hasString(item, "address") || !hasString(item, "state"))
        return std::nullopt;
    const auto address = parseAddress(item["address"].get<std::string>());
    const std::string state = item["state"].get<std::string>();
    if (!address.ok() || (state != "live" && state != "leaving"))
        return std::nullopt;
    return PlatformInstance{ item["id"].get<std::string>(), *address,
                             state == "live" ? InstanceState::Live : InstanceState::Leaving };
}

} // namespace

/// Owns the idle connections; each call takes one, so that calls do not wait for each other.
class HttpPlatform::Private
{
public:
    explicit Private(HttpPlatformSettings settings)
        : m_settings(std::move(settings))
    {}

    HttpResult call(const char *method, std::string path, std::string body)
    {
        HttpRequest request{
            method, std::move(path), { { "Host", m_settings.address.toString() } }, std::move(body)
        };
        if (!request.body.empty())
            request.headers.push_back({ "Content-Type", "application/json" });
        const auto describe = [&](const char *what) {
            return fmt::format("{} {}: {}", method, request.target, what);
        };
        const TimePoint start = std::chrono::steady_clock::now();
        Connection connection = take();
        if (!connection) {
            connection = std::make_unique<BlockingConnection>();
            const TimePoint deadline = start + m_settings.connectTimeout;
            if (connection->connect(m_settings.address, deadline, nullptr) != StreamState::Open)
                return HttpError{ HttpFailure::NotConnected, describe("no connection") };
        }
        const TimePoint deadline = start + m_settings.connectTimeout + m_settings.responseTimeout;
        HttpMessageLimits limits;
        limits.bodyBytes = m_settings.maxResponseBytes;
        BlockingExchange exchange = connection->exchange(request, deadline, nullptr, limits);
        if (exchange.parserState == HttpMessageParser::State::BodyTooLarge)
            return HttpError{ HttpFailure::TooLarge, describe("the response is too large") };
        if (!exchange.isAnswered)
            return HttpError{ HttpFailure::Lost, describe("no complete response") };
        if (exchange.isReusable)
            put(std::move(connection));
        return HttpReply{ exchange.response.status, std::move(exchange.response.body) };
    }

    /// Logs how many items of the list cannot be read when that has changed.
    void noteUnreadableInstances(std::size_t n)
    {
        if (m_unreadableInstances.exchange(n) != n)
            LOG4CPLUS_WARN(componentLogger("platform"),
                           n << " instances of the platform's list cannot be read");
    }

private:
    using Connection = std::unique_ptr<BlockingConnection>;

    /// Returns an idle connection that may be used, or null.
    Connection take()
    {
        const std::lock_guard lock(m_mutex);
        Connection connection;
        while (!m_idle.empty() && !connection) {
            connection = std::move(m_idle.back());
            m_idle.pop_back();
            if (!connection->isReusable())
                connection.reset();
        }
        return connection;
    }

    void put(Connection connection)
    {
        const std::lock_guard lock(m_mutex);
        if (m_idle.size() < kMaxIdleConnections)
            m_idle.push_back(std::move(connection));
    }

    const HttpPlatformSettings m_settings;
    std::mutex m_mutex;
    std::vector<Connection> m_idle;
    std::atomic<std::size_t> m_unreadableInstances = 0;
};

HttpPlatform::HttpPlatform(HttpPlatformSettings settings)
    : m_private(std::make_unique<Private>(std::move(settings)))
{}

HttpPlatform::~HttpPlatform() = default;

absl::StatusOr<std::uint64_t> HttpPlatform::append(std::string_view stream, std::string_view data)
{
    if (!isStreamName(stream))
        return absl::InvalidArgumentError("malformed stream name");
    const json document{ { "data", data } };
    // Replacing shows bytes that are not UTF-8 without an exception.
    std::string body = document.dump(-1, ' ', false, json::error_handler_t::replace);
    if (parseJson(body)["data"].get_ref<const std::string &>() != data)
        return absl::InvalidArgumentError("the data is not UTF-8");
    const HttpResult result =
            m_private->call("POST", fmt::format("/streams/{}/records", stream), std::move(body));
    if (const auto *error = std::get_if<HttpError>(&result)) {
        if (error->failure == HttpFailure::NotConnected)
            return absl::UnavailableError(error->message);
        return absl::UnknownError(error->message);
    }
    const auto &reply = std::get<HttpReply>(result);
    if (reply.status >= 400 && reply.status < 500)
        return absl::UnavailableError(fmt::format("the platform refused with {}", reply.status));
    const json answer = parseJson(reply.body);
    // A 5xx response does not tell whether the record was appended before the failure.
    if (reply.status < 200 || reply.status >= 300 || !hasUnsigned(answer, "offset"))
        return absl::UnknownError(
                fmt::format("the platform answered an append with {}", reply.status));
    return answer["offset"].get<std::uint64_t>();
}

absl::StatusOr<LogBatch> HttpPlatform::read(std::string_view stream, std::uint64_t from,
                                            std::size_t maxRecords)
{
    if (!isStreamName(stream))
        return absl::InvalidArgumentError("malformed stream name");
    const HttpResult result = m_private->call(
            "GET", fmt::format("/streams/{}/records?from={}&max={}", stream, from, maxRecords), {});
    if (const auto *error = std::get_if<HttpError>(&result))
        return readError(*error);
    const auto &reply = std::get<HttpReply>(result);
    if (reply.status == kHttpGone || reply.status == kHttpRangeNotSatisfiable) {
        const json answer = parseJson(reply.body);
        if (hasUnsigned(answer, "first"))
            return offsetDropped(answer["first"].get<std::uint64_t>());
        return absl::OutOfRangeError("the log dropped the offset");
    }
    if (reply.status != 200)
        return readError(reply);
    return parseBatch(reply.body, from);
}

absl::StatusOr<std::vector<PlatformInstance>> HttpPlatform::list()
{
    const HttpResult result = m_private->call("GET", "/instances", {});
    if (const auto *error = std::get_if<HttpError>(&result))
        return absl::UnavailableError(error->message);
    const auto &reply = std::get<HttpReply>(result);
    if (reply.status != 200)
        return readError(reply);
    const json document = parseJson(reply.body);
    if (!hasArray(document, "instances"))
        return malformed("instance list");
    std::vector<PlatformInstance> instances;
    std::size_t unreadable = 0;
    for (const json &item : document["instances"]) {
        std::optional<PlatformInstance> instance = parseInstance(item);
        if (instance)
            instances.push_back(std::move(*instance));
        else
            ++unreadable;
    }
    m_private->noteUnreadableInstances(unreadable);
    return instances;
}

} // namespace lycheebay
