// All machines start within 0.3 s, the largest one last. Exits with 1 if no request is served,
// because the directory has no address for the clients.
#include "../estate.h"

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

constexpr int kBasePort = 18540;
constexpr int kBackendPort = 18600;
constexpr int kStorePort = 18700;
constexpr int kBackends = 6;
constexpr int kClients = 8;
// Within the 0.3 s in which all machines start.
constexpr milliseconds kStartDelay{ 200 };
constexpr milliseconds kLead{ 8000 };
constexpr milliseconds kTraffic{ 30000 };
// Directories that a client asks, the nearest first.
constexpr std::size_t kDirectoriesAsked = 3;

int run()
{
    const char *folder = std::getenv("CASE_FOLDER");
    // Threads that serve connections may outlive this function, and so does what they use.
    Record &record = *new Record(std::string(folder ? folder : ".") + "/record.txt");
    Store &store = *new Store;
    const TemporaryFolder temporary;
    const std::string subnet = freeSubnet({ kBasePort, kBackendPort, kStorePort });
    if (subnet.empty())
        return 2;
    // The last machine is the largest, so the others of its region choose it to read the store.
    const std::vector<std::string> zoneOf{ "east", "east", "east", "west" };
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (std::size_t i = 0; i < zoneOf.size(); ++i) {
        const Endpoint path{ subnet + "200", kStorePort + static_cast<int>(i) };
        if (!store.listen(path))
            return 2;
        Gateway::Settings settings{ "edge-" + std::to_string(i), zoneOf[i],
                                    subnet + std::to_string(10 + i), path, kBasePort };
        settings.cpuShare = zoneOf[i] == "west" ? 0.5 : 0.2;
        settings.zones = { "east", "west" };
        gateways.push_back(std::make_unique<Gateway>(settings, temporary.path()));
    }
    store.append("keyed.op", "config",
                 configuration(1, "orders", "unsafe", milliseconds(1000), milliseconds(300), 2));
    std::vector<Backend *> backends;
    for (int i = 0; i < kBackends; ++i) {
        backends.push_back(new Backend({ "i-" + std::to_string(i),
                                         "orders",
                                         i % 2 == 0 ? "east" : "west",
                                         { subnet + "100", kBackendPort + i } },
                                       store, record));
        if (!backends.back()->start())
            return 2;
    }
    // Without trouble, the largest machine starts first and the others right after it.
    const bool trouble = troubleWanted();
    if (!trouble) {
        gateways.back()->start();
        record.tell(gateways.back()->settings().name + " starts");
        std::this_thread::sleep_for(kStartDelay);
    }
    for (std::size_t i = 0; i + 1 < gateways.size(); ++i) {
        gateways[i]->start();
        record.tell(gateways[i]->settings().name + " starts");
    }
    if (trouble) {
        std::this_thread::sleep_for(kStartDelay);
        gateways.back()->start();
        record.tell(gateways.back()->settings().name + " starts");
    }
    for (const auto &it : gateways) {
        if (!waitUntilReady(*it))
            return 2;
        record.tell(it->settings().name + " says that it is ready");
    }
    std::this_thread::sleep_for(kLead);
    std::atomic<bool> stop = false;
    std::atomic<int> served = 0;
    std::atomic<int> lookups = 0;
    std::atomic<int> failedLookups = 0;
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
        clients.emplace_back([&, i] {
            for (int k = 0; !stop; ++k) {
                std::vector<Endpoint> addresses;
                // The machines of the clients' zone come first.
                for (std::size_t n = 0; n < kDirectoriesAsked && addresses.empty(); ++n) {
                    const auto &asked = *gateways[(static_cast<std::size_t>(i + k) + n) % 3];
                    addresses = resolve(asked.directory(), "shop.example", "east");
                    ++lookups;
                    failedLookups += addresses.empty() ? 1 : 0;
                    record.write(asked.settings().name + " names "
                                 + std::to_string(addresses.size()) + " addresses");
                }
                if (!addresses.empty()) {
                    const std::string attempt = "c" + std::to_string(i) + "-" + std::to_string(k);
                    const auto at = static_cast<std::size_t>(k) % addresses.size();
                    const Socket socket = connectTo(addresses[at], milliseconds(1000));
                    socket.sendAll("POST /shop/order HTTP/1.1\r\nHost: shop.example\r\n"
                                   "Attempt-Id: "
                                   + attempt
                                   + "\r\nDeadline-Ms: 1000\r\nContent-Length: 5\r\n\r\norder");
                    MessageReader reader(socket);
                    const auto response = reader.read(milliseconds(1000));
                    const int status = response ? response->status() : 0;
                    record.write("order " + attempt + " answer " + std::to_string(status));
                    served += status == 200 ? 1 : 0;
                }
                std::this_thread::sleep_for(milliseconds(200));
            }
        });
    }
    std::this_thread::sleep_for(kTraffic);
    stop = true;
    for (std::thread &it : clients)
        it.join();
    bool running = true;
    for (const auto &it : gateways)
        running = it->isRunning() && running;
    record.tell("questions to the directory " + std::to_string(lookups.load())
                + ", without an address " + std::to_string(failedLookups.load())
                + ", orders served " + std::to_string(served.load()));
    if (lookups < 100 || !running) {
        record.tell("the case could not run");
        return 2;
    }
    return served == 0 ? 1 : 0;
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::_Exit(run());
}
