#include "base/heap.h"
#include "base/invariant.h"
#include "base/log.h"
#include "daemon/daemon.h"
#include "daemon/settings.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace lycheebay;

namespace {

constexpr int kExitUsage = 2;

void printSettings(const SettingsRequest &request)
{
    for (const SettingInForce &it : request.inForce)
        std::cout << it.name << " = " << it.value << " (" << it.source << ")\n";
}

/// Blocks the signals that end the daemon, in this thread and those it starts.
sigset_t blockEndSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(const Settings &settings, const sigset_t &signals)
{
    const log4cplus::Logger log = componentLogger("daemon");
    Daemon daemon(settings);
    const absl::Status started = daemon.start();
    if (!started.ok()) {
        LOG4CPLUS_ERROR(log, "start failed: " << started.message());
        return EXIT_FAILURE;
    }
    LOG4CPLUS_INFO(log, "listening on " << settings.listen.toString());
    int signal = 0;
    sigwait(&signals, &signal);
    LOG4CPLUS_INFO(log, "leaving");
    daemon.leave();
    LOG4CPLUS_INFO(log, "stopped");
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    returnLargeBlocksWhenFreed();
    const SettingsRequest request =
            readSettings({ argv, argv + argc }, [](const char *name) { return std::getenv(name); });
    if (!request.information.empty()) {
        std::cout << request.information;
        return EXIT_SUCCESS;
    }
    for (const std::string &fault : request.faults)
        std::cerr << "lycheebayd: " << fault << '\n';
    if (!request.faults.empty())
        return kExitUsage;
    if (request.checkOnly) {
        printSettings(request);
        return EXIT_SUCCESS;
    }
    initializeLogging(request.settings.logLevel);
    setInvariantsFatal(request.settings.fatalInvariants);
    return run(request.settings, blockEndSignals());
}
