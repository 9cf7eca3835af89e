#include "ctl/adminclient.h"

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <sstream>

namespace lycheebay {

namespace {

using Json = nlohmann::json;

constexpr int kConnectTimeoutSeconds = 2;
/// Longer than an entry tries to append, so that its verdict arrives.
constexpr int kReadTimeoutSeconds = 15;
constexpr int kProgressTimeoutSeconds = 1;

absl::Status statusOf(const httplib::Result &result)
{
    if (result)
        return absl::OkStatus();
    const std::string text = httplib::to_string(result.error());
    if (result.error() == httplib::Error::Connection)
        return absl::UnavailableError("the entry cannot be reached: " + text);
    return absl::UnknownError("the entry did not answer: " + text);
}

std::string problemText(const httplib::Response &response)
{
    const Json json = Json::parse(response.body, nullptr, false);
    if (json.is_object() && json.contains("reason") && json["reason"].is_string())
        return json["reason"].get<std::string>();
    return fmt::format("HTTP status {}", response.status);
}

absl::Status statusOf(const httplib::Response &response)
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

/// The answer of /admin/v1/revision: revision, incarnation and next offset.
struct RevisionAnswer
{
    std::uint64_t revision = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t nextOffset = 0;
};

absl::StatusOr<RevisionAnswer> askRevision(const Address &entry, int timeoutSeconds)
{
    httplib::Client client(entry.host, entry.port);
    client.set_connection_timeout(timeoutSeconds);
    client.set_read_timeout(timeoutSeconds);
    const httplib::Result result = client.Get("/admin/v1/revision");
    if (const absl::Status status = statusOf(result); !status.ok())
        return status;
    if (const absl::Status status = statusOf(*result); !status.ok())
        return status;
    RevisionAnswer answer;
    std::istringstream text(result->body);
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
    httplib::Client client(m_entry.host, m_entry.port);
    client.set_connection_timeout(kConnectTimeoutSeconds);
    client.set_read_timeout(kReadTimeoutSeconds);
    const httplib::Result result = client.Get(path);
    if (const absl::Status status = statusOf(result); !status.ok())
        return status;
    if (const absl::Status status = statusOf(*result); !status.ok())
        return status;
    return result->body;
}

absl::StatusOr<PublishAnswer> AdminClient::publish(const std::string &encodedChange,
                                                   bool dryRun) const
{
    httplib::Client client(m_entry.host, m_entry.port);
    client.set_connection_timeout(kConnectTimeoutSeconds);
    client.set_read_timeout(kReadTimeoutSeconds);
    const std::string path = dryRun ? "/admin/v1/changes?dryRun=1" : "/admin/v1/changes";
    const httplib::Result result = client.Post(path, encodedChange, "application/json");
    if (const absl::Status status = statusOf(result); !status.ok())
        return status;
    if (const absl::Status status = statusOf(*result); !status.ok())
        return status;
    const Json json = Json::parse(result->body, nullptr, false);
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
    const auto answer = askRevision(m_entry, kConnectTimeoutSeconds);
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
        const auto answer = askRevision(entry.address, kProgressTimeoutSeconds);
        if (answer.ok())
            entry.nextOffset = answer->nextOffset;
        else
            entry.fault = std::string(answer.status().message());
        entries.push_back(entry);
    }
    return entries;
}

} // namespace lycheebay
