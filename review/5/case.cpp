// Some time after an outage of the store, two backends leave and one machine is stopped by SIGTERM
// and started again, in several rounds.
// Exits with 1 if a request reaches such a backend later than the drain timeout after the store has
// accepted its leaving.
#include "../estate.h"

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

constexpr milliseconds kDrainTimeout{ 2000 };
// Time that a request may take from a machine to the backend.
constexpr milliseconds kTransit{ 50 };
constexpr milliseconds kOutage{ 4500 };
constexpr milliseconds kCalm{ 4000 };
constexpr int kRounds = 5;
constexpr milliseconds kLeavingTime{ 4000 };
constexpr milliseconds kRestartTime{ 5000 };
constexpr int kBasePort = 18540;
constexpr int kBackendPort = 18600;
constexpr int kStorePort = 18700;
constexpr int kClientsPerZone = 16;
constexpr int kBackendsPerZone = 7;

/// Sends one request after another to the addresses that the directory names.
void runClient(const std::string &zone, int number, const Endpoint &directory, Record &record,
               const std::atomic<bool> &stop)
{
    Endpoint address;
    TimePoint resolvedAt;
    std::unique_ptr<Socket> socket;
    std::unique_ptr<MessageReader> reader;
    for (int i = 0; !stop; ++i) {
        if (address.port == 0 || Clock::now() - resolvedAt > milliseconds(2000)) {
            const auto addresses = resolve(directory, "shop.example", zone);
            if (!addresses.empty()) {
                address = addresses[static_cast<std::size_t>(number + i) % addresses.size()];
                socket.reset();
            }
            resolvedAt = Clock::now();
        }
        if (address.port != 0 && !socket) {
            socket = std::make_unique<Socket>(connectTo(address, milliseconds(1000)));
            reader = std::make_unique<MessageReader>(*socket);
        }
        const std::string attempt = zone + std::to_string(number) + "-" + std::to_string(i);
        bool answered = false;
        if (socket && socket->isOpen()) {
            record.write("sent " + attempt + " to " + address.toString());
            socket->sendAll("POST /shop/order HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: "
                            + attempt + "\r\nDeadline-Ms: 1000\r\nContent-Length: 5\r\n\r\norder");
            const auto response = reader->read(milliseconds(1000));
            answered = response.has_value();
            record.write("answer " + attempt + ' '
                         + (response ? std::to_string(response->status()) : "none"));
            if (response && response->header("connection") == "close")
                answered = false;
        }
        if (!answered)
            socket.reset();
        std::this_thread::sleep_for(milliseconds(40));
    }
}

int run()
{
    const char *folder = std::getenv("CASE_FOLDER");
    Record &record = *new Record(std::string(folder ? folder : ".") + "/record.txt");
    const TemporaryFolder temporary;
    const std::string subnet = freeSubnet({ kBasePort, kBackendPort, kStorePort });
    if (subnet.empty())
        return 2;
    // Threads that serve connections may outlive this function, and so does what they use.
    Store &store = *new Store;
    // The largest machine reads the store for its region. It stands in a zone without backends, so
    // that the other machines pass all requests on.
    const std::vector<std::string> zoneOf{ "west", "east", "east", "south", "south" };
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (std::size_t i = 0; i < zoneOf.size(); ++i) {
        const Endpoint path{ subnet + "200", kStorePort + static_cast<int>(i) };
        if (!store.listen(path))
            return 2;
        Gateway::Settings settings{ "edge-" + std::to_string(i), zoneOf[i],
                                    subnet + std::to_string(10 + i), path, kBasePort };
        settings.cpuShare = i == 0 ? 0.5 : 0.2;
        settings.zones = { "east", "south", "west" };
        gateways.push_back(std::make_unique<Gateway>(settings, temporary.path()));
    }
    store.append("keyed.op", "config",
                 configuration(1, "orders", "unsafe", milliseconds(1000), milliseconds(300), 2));
    std::vector<Backend *> backends;
    for (int i = 0; i < 2 * kBackendsPerZone; ++i) {
        const std::string zone = i < kBackendsPerZone ? "east" : "south";
        backends.push_back(new Backend(
                { "i-" + std::to_string(i), "orders", zone, { subnet + "100", kBackendPort + i } },
                store, record));
        if (!backends.back()->start())
            return 2;
    }
    if (!startInOrder(gateways))
        return 2;
    std::this_thread::sleep_for(milliseconds(8000));
    std::atomic<bool> stop = false;
    std::vector<std::thread> clients;
    for (int i = 0; i < kClientsPerZone; ++i) {
        for (const char *zone : { "east", "south" }) {
            clients.emplace_back(
                    [&, zone, i] { runClient(zone, i, gateways[1]->directory(), record, stop); });
        }
    }
    std::this_thread::sleep_for(milliseconds(4000));
    const bool trouble = troubleWanted();
    std::size_t before = 1'000'000;
    std::size_t late = 0;
    milliseconds latest{};
    for (std::size_t round = 0; round < kRounds && late == 0; ++round) {
        if (trouble) {
            record.tell("the store answers 503");
            store.setAllPaths(Store::Path::Busy);
        }
        std::this_thread::sleep_for(kOutage);
        store.setAllPaths(Store::Path::Open);
        record.tell("the store is back");
        std::this_thread::sleep_for(kCalm);
        const std::vector<Backend *> leaving{ backends[round], backends[kBackendsPerZone + round] };
        std::vector<TimePoint> leftAt;
        for (Backend *it : leaving) {
            before = std::min(before, it->runs().size());
            leftAt.push_back(it->unregister());
            record.tell("the store has removed " + it->name());
        }
        record.tell(gateways[0]->settings().name + " gets SIGTERM");
        gateways[0]->signal(SIGTERM);
        std::this_thread::sleep_for(kLeavingTime);
        for (std::size_t i = 0; i < leaving.size(); ++i) {
            for (const Arrival &it : leaving[i]->runs()) {
                const auto after = std::chrono::duration_cast<milliseconds>(it.at - leftAt[i]);
                latest = std::max(latest, after);
                if (after <= kDrainTimeout + kTransit)
                    continue;
                record.write("late by rule DRAIN: " + it.attempt + " reached " + it.backend + ' '
                             + std::to_string(after.count()) + " ms after its leaving");
                ++late;
            }
        }
        for (int i = 0; i < 100 && gateways[0]->isRunning(); ++i)
            std::this_thread::sleep_for(milliseconds(50));
        gateways[0]->start();
        record.tell(gateways[0]->settings().name + " is started again");
        if (late == 0)
            std::this_thread::sleep_for(kRestartTime);
    }
    stop = true;
    for (std::thread &it : clients)
        it.join();
    bool running = true;
    for (const auto &it : gateways)
        running = it->isRunning() && running;
    record.tell("runs of each leaving backend before, at least: " + std::to_string(before)
                + ", later than the drain timeout: " + std::to_string(late) + ", last after "
                + std::to_string(latest.count()) + " ms");
    if (before < 20 || !running) {
        record.tell("the case could not run");
        return 2;
    }
    return late > 0 ? 1 : 0;
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::_Exit(run());
}
