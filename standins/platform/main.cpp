#include "base/log.h"
#include "standins/platform/platformserver.h"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace lycheebay;
using namespace lycheebay::standins;

int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Stand-in for the platform's log service and instance list");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address of the HTTP API", false,
                                        "127.0.0.1:7100", "ADDR:PORT", commandLine);
    TCLAP::ValueArg<double> appendRate("", "append-rate", "Appends accepted per second", false, 400,
                                       "N", commandLine);
    TCLAP::ValueArg<double> retain("", "retain-records", "Records kept per stream; 0 keeps all",
                                   false, 0, "N", commandLine);
    TCLAP::ValueArg<double> lag("", "list-lag-ms", "Lag of the instance list", false, 1000, "MS",
                                commandLine);
    commandLine.parse(argc, argv);
    initializeLogging("INFO");

    const auto address = parseAddress(listen.getValue());
    if (!address.ok()) {
        std::cerr << address.status().message() << "\n";
        return 2;
    }
    PlatformFaults faults;
    faults.retainRecords = retain.getValue();
    faults.listLagMs = lag.getValue();
    asio::io_context context(1);
    PlatformServer server(context, appendRate.getValue(), faults);
    const absl::Status status = server.listen(*address);
    if (!status.ok()) {
        std::cerr << status.message() << "\n";
        return 1;
    }
    LOG4CPLUS_INFO(componentLogger("platform-standin"), "listening on " << address->toString());
    runUntilSignal(context);
    return 0;
}
