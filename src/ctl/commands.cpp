#include "ctl/commands.h"

#include "ctl/publishing.h"
#include "estate/sheet.h"
#include "outcomes/httpmessage.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace lycheebay {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kWatchPause{ 1 };

ExitCode usage(const Output &output, const std::string &text)
{
    output.err << "lycheebayctl: " << text << "; see --help\n";
    return ExitCode::Usage;
}

ExitCode fail(const Output &output, const absl::Status &status)
{
    output.err << status.message() << '\n';
    return exitCodeOf(status);
}

const std::string &argument(const Options &options)
{
    return options.words.at(2);
}

/// Reads a sheet file and reports its faults; null when there are any.
std::optional<Sheet> loadSheet(const std::string &file, const Output &output)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        output.err << fmt::format("{}: cannot be read\n", file);
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    SheetReading reading = readSheet(text.str());
    for (const SheetFault &fault : reading.faults)
        output.err << fmt::format("{}: {}\n", file, fault.toString());
    return std::move(reading.sheet);
}

ExitCode sheetCheck(const Options &options, const Output &output)
{
    const auto sheet = loadSheet(argument(options), output);
    if (!sheet)
        return ExitCode::Refused;
    output.out << fmt::format("{} targets in {} services, no fault\n", sheet->estate.targets.size(),
                              sheet->estate.services.size());
    return ExitCode::Done;
}

ExitCode publishSheet(const Options &options, const Output &output)
{
    const auto sheet = loadSheet(argument(options), output);
    if (!sheet)
        return ExitCode::Refused;
    return publishAgainst(options, AdminClient(options.entry),
                          SheetBody{ sheet->estate, sheet->supersedes }, sheet->baseRevision,
                          output);
}

ExitCode sheetDiff(const Options &options, const Output &output)
{
    Options dryRun = options;
    dryRun.dryRun = true;
    return publishSheet(dryRun, output);
}

ExitCode show(const Options &options, const std::string &path, const Output &output)
{
    const auto text = AdminClient(options.entry).get(path);
    if (!text.ok())
        return fail(output, text.status());
    output.out << *text;
    if (!text->ends_with('\n'))
        output.out << '\n';
    return ExitCode::Done;
}

ExitCode sheetExport(const Options &options, const Output &output)
{
    return show(options, "/admin/v1/sheet", output);
}

template <typename Body>
ExitCode publishNamed(const Options &options, const Output &output)
{
    return publishBody(options, AdminClient(options.entry), Body{ argument(options) }, output);
}

std::optional<StopScope> parseScope(const std::string &text)
{
    if (text == "target")
        return StopScope::Target;
    if (text == "domain")
        return StopScope::FailureDomain;
    if (text == "instance")
        return StopScope::Instance;
    return std::nullopt;
}

std::optional<WallTime> parseTime(const std::string &text)
{
    std::tm fields{};
    std::istringstream stream(text);
    stream >> std::get_time(&fields, "%Y-%m-%dT%H:%M:%SZ");
    if (stream.fail() || stream.peek() != std::istringstream::traits_type::eof())
        return std::nullopt;
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::from_time_t(timegm(&fields)));
}

ExitCode stopAdd(const Options &options, const Output &output)
{
    const auto scope = parseScope(options.scope);
    const auto start = parseTime(options.start);
    const auto end = parseTime(options.end);
    if (!scope)
        return usage(output, "--scope is not target, domain or instance");
    if (!start || !end)
        return usage(output, "--start or --end is not a time as in 2026-12-04T09:30:00Z");
    return publishBody(options, AdminClient(options.entry),
                       AddStopBody{ { argument(options), *scope, options.name, *start, *end } },
                       output);
}

ExitCode stopList(const Options &options, const Output &output)
{
    const auto text = AdminClient(options.entry).get("/admin/v1/sheet");
    if (!text.ok())
        return fail(output, text.status());
    std::istringstream lines(*text);
    Json stops = Json::array();
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("stop,"))
            continue;
        if (!options.json)
            output.out << line << '\n';
        stops.push_back(line);
    }
    if (options.json)
        output.out << stops.dump(2) << '\n';
    return ExitCode::Done;
}

void printStatus(const Json &status, std::ostream &out)
{
    out << fmt::format("{} in {}/{}: {}, revision {}, lease {}\n", status.value("instance", ""),
                       status.value("region", ""), status.value("failureDomain", ""),
                       status.value("ready", false) ? "ready" : "not ready",
                       status.value("revision", 0),
                       status.value("leaseValid", false) ? "valid" : "expired");
    for (const Json &cell : status.value("cells", Json::array())) {
        out << fmt::format("cell {}: dispatcher {}, {} waiting\n", cell.value("service", ""),
                           cell.value("dispatcher", ""), cell.value("queued", 0));
        for (const Json &target : cell.value("targets", Json::array())) {
            out << fmt::format("  {:<20} {:>3} of {:>3} in flight  {}\n", target.value("id", ""),
                               target.value("outstanding", 0), target.value("limit", 0),
                               target.value("reason", ""));
        }
    }
    for (const Json &peer : status.value("peers", Json::array())) {
        out << fmt::format("peer {}: {}{}\n", peer.value("instance", ""),
                           peer.value("alive", false) ? "alive" : "not heard",
                           peer.value("leaving", false) ? ", leaving" : "");
    }
}

ExitCode showStatus(const Options &options, const Output &output)
{
    const auto text = AdminClient(options.entry).get("/admin/v1/status");
    if (!text.ok())
        return fail(output, text.status());
    if (options.json)
        output.out << *text << '\n';
    else
        printStatus(Json::parse(*text, nullptr, false), output.out);
    return ExitCode::Done;
}

ExitCode watch(const Options &options, const Output &output)
{
    const AdminClient client(options.entry);
    while (output.out) {
        const auto entries = client.progress();
        if (!entries.ok())
            return fail(output, entries.status());
        std::string line;
        for (const EntryProgress &entry : *entries) {
            line += fmt::format("{}={} ", entry.instanceId,
                                entry.fault.empty() ? std::to_string(entry.nextOffset) : "?");
        }
        output.out << line << std::endl;
        std::this_thread::sleep_for(kWatchPause);
    }
    return ExitCode::Done;
}

ExitCode showAudit(const Options &options, const Output &output)
{
    const auto text = AdminClient(options.entry).get("/admin/v1/audit");
    if (!text.ok())
        return fail(output, text.status());
    if (options.json) {
        output.out << *text << '\n';
        return ExitCode::Done;
    }
    for (const Json &entry : Json::parse(*text, nullptr, false)) {
        output.out << fmt::format(
                "{:>6} {} {:<12} {:<14} {} {}{}\n", entry.value("offset", 0),
                entry.value("time", ""), entry.value("author", ""), entry.value("kind", ""),
                entry.value("accepted", false) ? "accepted" : "rejected",
                entry.value("summary", ""),
                entry.value("reason", "").empty() ? "" : ": " + entry.value("reason", ""));
    }
    return ExitCode::Done;
}

ExitCode explain(const Options &options, const Output &output)
{
    if (options.service.empty())
        return usage(output, "explain needs --service");
    const std::vector<QueryParameter> query{ { "service", options.service },
                                             { "method", options.method },
                                             { "path", options.path },
                                             { "tenant", options.tenant } };
    return show(options, targetWithQuery("/admin/v1/explain", query), output);
}

/// A command by its words; `argument` tells whether one more word follows.
struct Command
{
    const char *first;
    const char *second;
    bool argument;
    ExitCode (*run)(const Options &options, const Output &output);
};

constexpr std::array kCommands{
    Command{ "sheet", "check", true, sheetCheck },
    Command{ "sheet", "diff", true, sheetDiff },
    Command{ "sheet", "publish", true, publishSheet },
    Command{ "sheet", "export", false, sheetExport },
    Command{ "domain", "drain", true, publishNamed<DrainDomainBody> },
    Command{ "domain", "restore", true, publishNamed<RestoreDomainBody> },
    Command{ "target", "drain", true, publishNamed<DrainTargetBody> },
    Command{ "target", "restore", true, publishNamed<RestoreTargetBody> },
    Command{ "stop", "add", true, stopAdd },
    Command{ "stop", "remove", true, publishNamed<RemoveStopBody> },
    Command{ "stop", "list", false, stopList },
    Command{ "status", nullptr, false, showStatus },
    Command{ "watch", nullptr, false, watch },
    Command{ "audit", nullptr, false, showAudit },
    Command{ "explain", nullptr, false, explain },
};

bool matches(const Command &command, const std::vector<std::string> &words)
{
    const std::size_t count = 1 + (command.second ? 1 : 0) + (command.argument ? 1 : 0);
    return words.size() == count && words[0] == command.first
           && (!command.second || words[1] == command.second);
}

} // namespace

ExitCode runCommand(const Options &options, const Output &output)
{
    const auto it = std::find_if(kCommands.begin(), kCommands.end(), [&](const Command &command) {
        return matches(command, options.words);
    });
    if (it == kCommands.end())
        return usage(output, "unknown command");
    return it->run(options, output);
}

ExitCode exitCodeOf(const absl::Status &status)
{
    if (status.ok())
        return ExitCode::Done;
    if (absl::IsUnavailable(status))
        return ExitCode::Unavailable;
    if (absl::IsUnknown(status))
        return ExitCode::Unknown;
    return ExitCode::Refused;
}

} // namespace lycheebay
