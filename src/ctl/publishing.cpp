#include "ctl/publishing.h"

#include "base/seededrandom.h"
#include "base/systemclock.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>
#include <thread>

namespace lycheebay {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kProgressPause{ 200 };

/// How far a change has come.
struct Spread
{
    std::size_t inForce = 0;
    std::vector<EntryProgress> missing;
    std::size_t total() const { return inForce + missing.size(); }
};

Spread spreadOf(const std::vector<EntryProgress> &entries, Revision offset)
{
    Spread spread;
    for (const EntryProgress &entry : entries) {
        if (entry.nextOffset > offset)
            ++spread.inForce;
        else
            spread.missing.push_back(entry);
    }
    return spread;
}

Spread awaitSpread(const Options &options, const AdminClient &client, Revision offset)
{
    const SystemClock clock;
    const TimePoint end = clock.now() + std::chrono::seconds(options.waitSeconds);
    Spread spread;
    while (true) {
        const auto entries = client.progress();
        if (entries.ok())
            spread = spreadOf(*entries, offset);
        if ((entries.ok() && spread.missing.empty()) || clock.now() >= end)
            return spread;
        std::this_thread::sleep_for(kProgressPause);
    }
}

Json missingJson(const std::vector<EntryProgress> &missing)
{
    Json json = Json::array();
    for (const EntryProgress &entry : missing) {
        const std::string reason =
                entry.fault.empty() ? fmt::format("has applied records before {}", entry.nextOffset)
                                    : entry.fault;
        json.push_back({ { "instance", entry.instanceId }, { "reason", reason } });
    }
    return json;
}

void reportSpread(const Options &options, const PublishAnswer &answer, const Spread &spread,
                  const Output &output)
{
    if (options.json) {
        const Json json{
            { "offset", answer.offset },         { "accepted", true },
            { "inForce", spread.inForce },       { "entries", spread.total() },
            { "difference", answer.difference }, { "missing", missingJson(spread.missing) }
        };
        output.out << json.dump(2) << '\n';
        return;
    }
    output.out << fmt::format("appended at {}; in force at {} of {}\n", answer.offset,
                              spread.inForce, spread.total());
    for (const Json &entry : missingJson(spread.missing)) {
        output.out << fmt::format("missing: {} ({})\n", entry["instance"].get<std::string>(),
                                  entry["reason"].get<std::string>());
    }
}

ExitCode reportRejection(const Options &options, const PublishAnswer &answer, const Output &output)
{
    if (options.json) {
        output.out << Json{
            { "offset", answer.offset },
            { "accepted", false },
            { "reason", answer.reason },
            { "conflictsWith", answer.conflictsWith }
        }.dump(2) << '\n';
    }
    output.err << fmt::format("rejected: {}\n", answer.reason);
    return answer.conflictsWith.empty() ? ExitCode::Refused : ExitCode::Conflict;
}

ExitCode reportFailure(const Change &change, const absl::Status &status, const Output &output)
{
    output.err << status.message() << '\n';
    const ExitCode code = exitCodeOf(status);
    if (code == ExitCode::Unknown) {
        output.err << fmt::format("the change may have been published; repeat with --id {}\n",
                                  change.id);
    }
    return code;
}

} // namespace

ExitCode publishBody(const Options &options, const AdminClient &client, ChangeBody body,
                     const Output &output)
{
    const auto revision = client.revision();
    if (!revision.ok()) {
        output.err << revision.status().message() << '\n';
        return ExitCode::Unavailable;
    }
    return publishAgainst(options, client, std::move(body), *revision, output);
}

ExitCode publishAgainst(const Options &options, const AdminClient &client, ChangeBody body,
                        Revision baseRevision, const Output &output)
{
    Change change;
    change.id = options.changeId.empty() ? fmt::format("{:016x}", systemRandomBits())
                                         : options.changeId;
    change.author = options.author;
    change.time = SystemClock().wallNow();
    change.baseRevision = baseRevision;
    change.body = std::move(body);
    const auto record = encodeChange(change);
    if (!record.ok()) {
        output.err << record.status().message() << '\n';
        return ExitCode::Refused;
    }
    const auto answer = client.publish(*record, options.dryRun);
    if (!answer.ok())
        return reportFailure(change, answer.status(), output);
    if (!options.json) {
        for (const std::string &line : answer->difference)
            output.out << line << '\n';
    }
    if (!answer->accepted)
        return reportRejection(options, *answer, output);
    if (options.dryRun) {
        if (options.json)
            output.out << Json{ { "accepted", true }, { "difference", answer->difference } }.dump(2)
                       << '\n';
        else
            output.out << "dry run: nothing was published\n";
        return ExitCode::Done;
    }
    const Spread spread = awaitSpread(options, client, answer->offset);
    reportSpread(options, *answer, spread, output);
    return spread.missing.empty() ? ExitCode::Done : ExitCode::NotEverywhere;
}

} // namespace lycheebay
