#include "ctl/adminclient.h"

#include "http/internal/blockingconnection.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <sstream>

namespace lycheebay {

namespace {

using Json = nlohmann::json;

using std::chrono::seconds;

constexpr seconds kConnectTimeout{ 2 };
/// Longer than an entry tries to append, so that its verdict arrives.
constexpr seconds kResponseTimeout{ 15 };
constexpr seconds kProgressTimeout{ 1 };

std::string problemText(const HttpResponse &response)
{
    const Json json = Json::parse(response.body, nullptr, false);
    if (json.is_object() && json.contains("reason") && json["reason"].is_string())
        return json["reason"].get<std::string>();
    return fmt::format("HTTP status {}", response.status);
}

absl::Status statusOf(const HttpResponse &response)
{
    const std::string text = problemText(response);
    if (response.status < 300)
        return absl::OkStatus();
    if (response.status == 404)
        return absl::NotFoundError(text);
    if (response.status == 503)
        return absl::UnavailableError(text);
    if (response.status >= 500)
        return absl::UnknownError(text);
    return absl::InvalidArgumentError(text);
}

/// Returns the response of an entry, or the error that it answers with.
absl::StatusOr<HttpResponse> call(const Address &entry, HttpRequest request,
                                  Duration connectTimeout, Duration responseTimeout)
{
    request.headers.insert(request.headers.begin(), { "Host", entry.toString() });
    const TimePoint connectDeadline = std::chrono::steady_clock::now() + connectTimeout;
    BlockingConnection connection;
    if (connection.connect(entry, connectDeadline, nullptr) != StreamState::Open)
        return absl::UnavailableError("the entry cannot be reached");
    BlockingExchange exchange =
            connection.exchange(request, connectDeadline + responseTimeout, nullptr, {});
    if (!exchange.isAnswered)
        return absl::UnknownError("no complete response of the entry");
    if (const absl::Status status = statusOf(exchange.response); !status.ok())
        return status;
    return std::move(exchange.response);
}

/// The answer of /admin/v1/revision: revision, incarnation and next offset.
struct RevisionAnswer
{
    std::uint64_t revision = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t nextOffset = 0;
};

absl::StatusOr<RevisionAnswer> askRevision(const Address &entry, Duration timeout)
{
    const auto response = call(entry, { "GET", "/admin/v1/revision", {}, {} }, timeout, timeout);
    if (!response.ok())
        return response.status();
    RevisionAnswer answer;
    std::istringstream text(response->body);
    if (!(text >> answer.revision >> answer.incarnation >> answer.nextOffset))
        return absl::UnknownError("malformed answer");
    return answer;
}

} // namespace

AdminClient::AdminClient(Address entry)
    : m_entry(std::move(entry))
{}

absl::StatusOr<std::string> AdminClient::get(const std::string &path) const
{
    auto response = call(m_entry, { "GET", path, {}, {} }, kConnectTimeout, kResponseTimeout);
    if (!response.ok())
        return response.status();
    return std::move(response->body);
}

absl::StatusOr<PublishAnswer> AdminClient::publish(const std::string &encodedChange,
                                                   bool dryRun) const
{
    const std::string path = dryRun ? "/admin/v1/changes?dryRun=1" : "/admin/v1/changes";
    const HttpRequest request{
        "POST", path, { { "Content-Type", "application/json" } }, encodedChange
    };
    const auto response = call(m_entry, request, kConnectTimeout, kResponseTimeout);
    if (!response.ok())
        return response.status();
    const Json json = Json::parse(response->body, nullptr, false);
    if (!json.is_object())
        return absl::UnknownError("malformed answer");
    try {
        return PublishAnswer{ json.at("offset"), json.at("accepted"), json.at("reason"),
                              json.at("conflictsWith"), json.at("difference") };
    } catch (const Json::exception &error) {
        return absl::UnknownError(error.what());
    }
}

absl::StatusOr<std::uint64_t> AdminClient::revision() const
{
    const auto answer = askRevision(m_entry, kConnectTimeout);
    if (!answer.ok())
        return answer.status();
    return answer->revision;
}

absl::StatusOr<std::vector<EntryProgress>> AdminClient::progress() const
{
    const auto status = get("/admin/v1/status");
    if (!status.ok())
        return status.status();
    const Json json = Json::parse(*status, nullptr, false);
    if (!json.is_object() || !json.contains("roster"))
        return absl::UnavailableError("the entry has no configuration yet");
    std::vector<EntryProgress> entries;
    for (const Json &member : json["roster"]) {
        EntryProgress entry;
        entry.instanceId = member.value("instance", "");
        const auto address = parseAddress(member.value("http", ""));
        if (address.ok())
            entry.address = *address;
        const auto answer = askRevision(entry.address, kProgressTimeout);
        if (answer.ok())
            entry.nextOffset = answer->nextOffset;
        else
            entry.fault = std::string(answer.status().message());
        entries.push_back(entry);
    }
    return entries;
}

} // namespace lycheebay
