#include "base/log.h"
#include "standins/target/controlserver.h"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace lycheebay;
using namespace lycheebay::standins;

namespace {

struct Settings
{
    TargetOptions options;
    TargetSpec explicitSpec;
    TargetFilter filter;
    std::vector<std::string> addresses;
    std::string sheet;
    std::string control;
    bool startCold = false;
};

Settings parseFlags(int argc, char **argv)
{
    TCLAP::CmdLine cmd("Stand-in for many targets, each on its own address");
    TCLAP::ValueArg<std::string> sheet("", "sheet", "Sheet to read targets from", false, "", "FILE",
                                       cmd);
    TCLAP::MultiArg<std::string> service("", "service", "Only this service", false, "NAME", cmd);
    TCLAP::MultiArg<std::string> domain("", "domain", "Only this domain", false, "NAME", cmd);
    TCLAP::MultiArg<std::string> target("", "target", "Only this target", false, "ID", cmd);
    TCLAP::MultiArg<std::string> listen(
            "", "listen", "Target without a sheet; its id is the address", false, "ADDR:PORT", cmd);
    TCLAP::ValueArg<int> slots("", "slots", "Slots of --listen", false, 3, "N", cmd);
    TCLAP::ValueArg<int> cold("", "cold-limit", "Cold limit of --listen", false, 1, "N", cmd);
    TCLAP::ValueArg<std::string> control("", "control", "Address of the control port", false,
                                         "127.0.0.1:7200", "ADDR:PORT", cmd);
    TCLAP::ValueArg<std::string> distribution("", "distribution", "exponential or log-normal",
                                              false, "log-normal", "NAME", cmd);
    TCLAP::ValueArg<double> mean("", "service-ms", "Mean service time", false, 5, "MS", cmd);
    TCLAP::ValueArg<double> sigma("", "sigma", "Log-normal shape", false, 0.5, "S", cmd);
    TCLAP::ValueArg<int> queue("", "queue", "Requests that wait per target", false, 50, "N", cmd);
    TCLAP::ValueArg<double> coldFor("", "cold-for-ms", "Cold phase after a restart", false, 3000,
                                    "MS", cmd);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the random source", false, 1, "N",
                                        cmd);
    TCLAP::SwitchArg startCold("", "start-cold", "Start in the cold phase", cmd);
    cmd.parse(argc, argv);

    Settings settings;
    const bool isExponential = distribution.getValue() == "exponential";
    settings.options.distribution =
            isExponential ? Distribution::Exponential : Distribution::LogNormal;
    settings.options.serviceMs = mean.getValue();
    settings.options.sigma = sigma.getValue();
    settings.options.queueBound = static_cast<std::size_t>(std::max(0, queue.getValue()));
    settings.options.coldForMs = coldFor.getValue();
    settings.options.seed = seed.getValue();
    settings.explicitSpec.slots = std::max(1, slots.getValue());
    settings.explicitSpec.coldLimit = std::max(1, cold.getValue());
    settings.filter = { service.getValue(), domain.getValue(), target.getValue() };
    settings.addresses = listen.getValue();
    settings.sheet = sheet.getValue();
    settings.control = control.getValue();
    settings.startCold = startCold.getValue();
    return settings;
}

absl::StatusOr<std::vector<TargetSpec>> selectTargets(const Settings &settings)
{
    std::vector<TargetSpec> specs;
    if (!settings.sheet.empty()) {
        auto fromSheet = readTargets(settings.sheet);
        if (!fromSheet.ok())
            return fromSheet.status();
        for (const TargetSpec &it : *fromSheet) {
            if (settings.filter.matches(it))
                specs.push_back(it);
        }
    }
    for (const std::string &text : settings.addresses) {
        const auto address = parseAddress(text);
        if (!address.ok())
            return address.status();
        TargetSpec spec = settings.explicitSpec;
        spec.id = text;
        spec.address = *address;
        specs.push_back(spec);
    }
    if (specs.empty())
        return absl::InvalidArgumentError("no target selected: use --sheet or --listen");
    return specs;
}

absl::Status run(const Settings &settings)
{
    const auto specs = selectTargets(settings);
    if (!specs.ok())
        return specs.status();
    const auto controlAddress = parseAddress(settings.control);
    if (!controlAddress.ok())
        return controlAddress.status();

    asio::io_context context(1);
    RunRecord runRecord;
    std::vector<std::unique_ptr<TargetStandin>> targets;
    for (const TargetSpec &it : *specs) {
        targets.push_back(
                std::make_unique<TargetStandin>(context, it, settings.options, runRecord));
        absl::Status status = targets.back()->start();
        if (status.ok() && settings.startCold)
            status = targets.back()->control({ { "cold", it.coldLimit } });
        if (!status.ok())
            return status;
    }
    ControlServer control(context, targets, runRecord);
    absl::Status status = control.listen(*controlAddress);
    if (!status.ok())
        return status;
    LOG4CPLUS_INFO(componentLogger("target-standin"),
                   "playing " << targets.size() << " targets, control on " << settings.control
                              << ", seed " << settings.options.seed);
    runUntilSignal(context);
    return absl::OkStatus();
}

} // namespace

int main(int argc, char **argv)
{
    initializeLogging("INFO");
    const absl::Status status = run(parseFlags(argc, argv));
    if (!status.ok())
        std::cerr << status.message() << "\n";
    return status.ok() ? 0 : 2;
}
