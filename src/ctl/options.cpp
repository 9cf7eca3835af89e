#include "ctl/options.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdlib>

namespace lycheebay {

namespace {

constexpr char kVersion[] = "0.1.0";

constexpr char kHelp[] = R"(lycheebayctl: publishes configuration changes and shows what is in force

usage: lycheebayctl [--entry ADDR:PORT] [--json] COMMAND

  sheet check FILE            report every fault of a sheet
  sheet diff FILE             show what publishing a sheet would change
  sheet publish FILE          publish a sheet
  sheet export                write the configuration in force as a sheet
  domain drain|restore NAME   take a failure domain out, or bring it back
  target drain|restore ID     take a target out, or bring it back
  stop add ID --scope target|domain|instance --name NAME --start TIME --end TIME
  stop remove ID              remove a planned stop
  stop list                   list planned stops
  status                      show the entry, its cells and its peers
  watch                       print the configuration of every entry each second
  audit                       list recent changes and what became of them
  explain --service S [--method M] [--path P] [--tenant T]
                              show where a request would go, and why not elsewhere

  --entry ADDR:PORT  entry to talk to; default LYCHEEBAY_ENTRY
  --json             machine-readable output
  --dry-run          show what a change would do and publish nothing
  --author NAME      who makes the change; default USER
  --id ID            id of the change; give the id of a change whose answer was lost to repeat it
  --wait-s N         time to wait until a change is in force everywhere; default 12
  --help, --version

TIME is UTC, as in 2026-12-04T09:30:00Z.

exit codes: 0 done, 1 refused or bad input, 2 usage, 3 conflict with another change,
4 nothing could be reached, 5 unknown whether the change was published, 6 not in force everywhere
)";

class NoOutput final : public TCLAP::StdOutput
{
public:
    void usage(TCLAP::CmdLineInterface &) override { text = kHelp; }
    void version(TCLAP::CmdLineInterface &) override
    {
        text = fmt::format("lycheebayctl {}\n", kVersion);
    }

    std::string text;
};

std::string environmentOr(const char *name, const char *fallback)
{
    const char *value = std::getenv(name);
    return value ? value : fallback;
}

OptionsReading usageError(const std::string &text)
{
    return { {}, "lycheebayctl: " + text + "\n", ExitCode::Usage, false };
}

/// The flags, as TCLAP wants them: bound to the command line for as long as it lives.
struct Flags
{
    using Text = TCLAP::ValueArg<std::string>;

    explicit Flags(TCLAP::CmdLine &line)
        : entry("", "entry", "", false, environmentOr("LYCHEEBAY_ENTRY", ""), "ADDR:PORT", line)
        , json("", "json", "", line)
        , dryRun("", "dry-run", "", line)
        , author("", "author", "", false, environmentOr("USER", "operator"), "NAME", line)
        , id("", "id", "", false, "", "ID", line)
        , wait("", "wait-s", "", false, 12, "N", line)
        , scope("", "scope", "", false, "", "SCOPE", line)
        , name("", "name", "", false, "", "NAME", line)
        , start("", "start", "", false, "", "TIME", line)
        , end("", "end", "", false, "", "TIME", line)
        , service("", "service", "", false, "", "S", line)
        , method("", "method", "", false, "GET", "M", line)
        , path("", "path", "", false, "/", "P", line)
        , tenant("", "tenant", "", false, "", "T", line)
        , words("words", "Command and its arguments", false, "COMMAND", line)
    {}

    Options toOptions() const
    {
        Options options;
        options.json = json.getValue();
        options.dryRun = dryRun.getValue();
        options.author = author.getValue();
        options.changeId = id.getValue();
        options.waitSeconds = wait.getValue();
        options.scope = scope.getValue();
        options.name = name.getValue();
        options.start = start.getValue();
        options.end = end.getValue();
        options.service = service.getValue();
        options.method = method.getValue();
        options.path = path.getValue();
        options.tenant = tenant.getValue();
        options.words = words.getValue();
        return options;
    }

    Text entry;
    TCLAP::SwitchArg json;
    TCLAP::SwitchArg dryRun;
    Text author;
    Text id;
    TCLAP::ValueArg<int> wait;
    Text scope;
    Text name;
    Text start;
    Text end;
    Text service;
    Text method;
    Text path;
    Text tenant;
    TCLAP::UnlabeledMultiArg<std::string> words;
};

} // namespace

OptionsReading readOptions(const std::vector<std::string> &arguments)
{
    NoOutput output;
    TCLAP::CmdLine line("lycheebayctl", ' ', kVersion);
    line.setOutput(&output);
    line.setExceptionHandling(false);
    const Flags flags(line);
    try {
        std::vector<std::string> mutableArguments = arguments;
        line.parse(mutableArguments);
    } catch (const TCLAP::ArgException &error) {
        return usageError(fmt::format("{} {}", error.argId(), error.error()));
    } catch (const TCLAP::ExitException &) {
        return { {}, output.text, ExitCode::Done, false };
    }
    OptionsReading reading{ flags.toOptions(), {}, ExitCode::Done, true };
    if (reading.options.words.empty())
        return usageError("no command; see --help");
    if (reading.options.waitSeconds < 0 || reading.options.waitSeconds > 3600)
        return usageError("--wait-s is not in 0..3600");
    const std::string &entry = flags.entry.getValue();
    const bool local = reading.options.words.size() > 1 && reading.options.words[0] == "sheet"
                       && reading.options.words[1] == "check";
    if (local)
        return reading;
    const auto address = parseAddress(entry);
    if (!address.ok())
        return usageError("--entry: " + std::string(address.status().message()));
    reading.options.entry = *address;
    return reading;
}

} // namespace lycheebay
