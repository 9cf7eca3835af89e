#include "tools/load/loadsettings.h"

#include "estate/address.h"

#include <tclap/CmdLine.h>

namespace lycheebay::load {

namespace {

struct Flags
{
    TCLAP::CmdLine cmd{ "Open-loop callers of lycheebay with a check of the history" };
    TCLAP::MultiArg<std::string> entry{ "",    "entry",     "Entry to ask for addresses",
                                        false, "ADDR:PORT", cmd };
    TCLAP::MultiArg<std::string> direct{ "",    "direct",    "Target to send to directly",
                                         false, "ADDR:PORT", cmd };
    TCLAP::MultiArg<std::string> control{ "",    "targets-control", "Control port of targets",
                                          false, "ADDR:PORT",       cmd };
    TCLAP::MultiArg<std::string> lookup{
        "", "lookup", "Idempotent part of the mix", false, "SERVICE:PATH:SHARE", cmd
    };
    TCLAP::MultiArg<std::string> order{
        "", "order", "Non-idempotent part of the mix", false, "SERVICE:PATH:SHARE", cmd
    };
    TCLAP::ValueArg<std::string> tenant{ "", "tenant", "Tenant", false, "", "NAME", cmd };
    TCLAP::ValueArg<double> rate{ "", "rate", "Requests per second", false, 100, "N", cmd };
    TCLAP::ValueArg<std::uint64_t> requests{ "",  "requests", "Number of requests", false, 1000,
                                             "N", cmd };
    TCLAP::ValueArg<int> workers{ "", "workers", "Requests at the same time", false, 64, "N", cmd };
    TCLAP::ValueArg<int> tries{ "", "tries", "Tries per request", false, 4, "N", cmd };
    TCLAP::ValueArg<int> deadline{ "", "deadline-ms", "Deadline", false, 2000, "MS", cmd };
    TCLAP::ValueArg<int> settle{ "", "settle-ms", "Wait before the check", false, 1000, "MS", cmd };
    TCLAP::ValueArg<std::uint64_t> seed{ "", "seed", "Random seed", false, 1, "N", cmd };
    TCLAP::ValueArg<std::string> times{ "",    "service-times", "none, exponential or log-normal",
                                        false, "none",          "NAME",
                                        cmd };
    TCLAP::ValueArg<double> serviceMs{ "", "service-ms", "Mean service time", false, 5, "MS", cmd };
    TCLAP::ValueArg<double> sigma{ "", "sigma", "Log-normal shape", false, 0.5, "S", cmd };
    TCLAP::ValueArg<std::string> poison{ "", "poison", "Crash marker", false, "", "TEXT", cmd };
    TCLAP::ValueArg<std::uint64_t> poisonEvery{
        "", "poison-every", "Every n-th has the marker", false, 0, "N", cmd
    };
    TCLAP::ValueArg<std::string> history{ "", "history", "History file", false, "", "FILE", cmd };
    TCLAP::ValueArg<std::string> json{ "",     "json", "Summary file; - is stdout", false, "",
                                       "FILE", cmd };
    TCLAP::SwitchArg check{ "", "check", "Check the history against the targets", cmd };
    TCLAP::SwitchArg overhead{ "", "overhead", "Alternate --direct and --entry", cmd };
    TCLAP::ValueArg<std::int64_t> maxUnknown{
        "", "max-unknown", "Unknown outcomes tolerated", false, -1, "N", cmd
    };
};

bool parseMixPart(const std::string &text, Kind kind, LoadSettings &settings)
{
    const std::size_t first = text.find(':');
    const std::size_t last = text.rfind(':');
    if (first == std::string::npos || first == last || text[first + 1] != '/')
        return false;
    MixPart part;
    part.kind = kind;
    part.service = text.substr(0, first);
    part.path = text.substr(first + 1, last - first - 1);
    char *end = nullptr;
    part.share = std::strtod(text.c_str() + last + 1, &end);
    settings.mix.push_back(part);
    return *end == '\0' && part.share > 0;
}

bool parseServiceTimes(const std::string &name, ServiceTimes &times)
{
    times = name == "exponential"  ? ServiceTimes::Exponential
            : name == "log-normal" ? ServiceTimes::LogNormal
                                   : ServiceTimes::None;
    return times != ServiceTimes::None || name == "none";
}

void checkAddresses(const std::vector<std::string> &addresses, std::string &faults)
{
    for (const std::string &it : addresses) {
        if (!parseAddress(it).ok())
            faults += "not an address: " + it + "\n";
    }
}

std::string readFlags(Flags &flags, LoadSettings &settings)
{
    std::string faults;
    settings.entries = flags.entry.getValue();
    settings.direct = flags.direct.getValue();
    settings.targetControls = flags.control.getValue();
    checkAddresses(settings.entries, faults);
    checkAddresses(settings.direct, faults);
    checkAddresses(settings.targetControls, faults);
    for (const std::string &it : flags.lookup.getValue())
        faults += parseMixPart(it, Kind::Lookup, settings) ? "" : "bad --lookup: " + it + "\n";
    for (const std::string &it : flags.order.getValue())
        faults += parseMixPart(it, Kind::Order, settings) ? "" : "bad --order: " + it + "\n";
    if (!parseServiceTimes(flags.times.getValue(), settings.serviceTimes))
        faults += "bad --service-times\n";
    settings.tenant = flags.tenant.getValue();
    settings.rate = flags.rate.getValue();
    settings.requests = flags.requests.getValue();
    settings.workers = flags.workers.getValue();
    settings.maxTries = flags.tries.getValue();
    settings.deadlineMs = flags.deadline.getValue();
    settings.settleMs = flags.settle.getValue();
    settings.seed = flags.seed.getValue();
    settings.serviceMs = flags.serviceMs.getValue();
    settings.sigma = flags.sigma.getValue();
    settings.poison = flags.poison.getValue();
    settings.poisonEvery = flags.poisonEvery.getValue();
    settings.history = flags.history.getValue();
    settings.json = flags.json.getValue();
    settings.check = flags.check.getValue();
    settings.overhead = flags.overhead.getValue();
    settings.maxUnknown = flags.maxUnknown.getValue();
    return faults;
}

} // namespace

absl::StatusOr<LoadSettings> parseLoadSettings(int argc, char **argv)
{
    Flags flags;
    flags.cmd.parse(argc, argv);
    LoadSettings settings;
    std::string faults = readFlags(flags, settings);
    if (settings.rate <= 0 || settings.workers < 1 || settings.maxTries < 1
        || settings.deadlineMs < 1 || settings.serviceMs <= 0)
        faults += "--rate, --workers, --tries, --deadline-ms and --service-ms must be positive\n";
    if (!settings.isCheckOnly() && settings.mix.empty())
        faults += "at least one --lookup or --order is needed\n";
    if (settings.overhead && (settings.entries.empty() || settings.direct.empty()))
        faults += "--overhead needs --direct and --entry\n";
    if (!settings.overhead && !settings.entries.empty() && !settings.direct.empty())
        faults += "--direct together with --entry needs --overhead\n";
    if (settings.isCheckOnly() && (!settings.check || settings.history.empty()))
        faults += "use --entry, --direct, or --check with --history\n";
    if (settings.check && settings.targetControls.empty())
        faults += "--check needs --targets-control\n";
    if (!faults.empty())
        return absl::InvalidArgumentError(faults);
    return settings;
}

} // namespace lycheebay::load
