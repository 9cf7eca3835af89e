// A safe request crashes each backend that begins to run it, and comes again. Exits with 1 if it
// reaches backends in more than three retries later than `contact` after its third crash.
#include "../estate.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

constexpr int kBasePort = 18540;
constexpr int kBackendPort = 18600;
constexpr int kStorePort = 18700;
constexpr int kBackends = 8;
constexpr int kClients = 12;
constexpr milliseconds kContact{ 3000 };
constexpr std::size_t kAllowedRetries = 3;
constexpr int kPoisonRequests = 20;
constexpr milliseconds kPoisonPeriod{ 2000 };

/// Sends one request on a connection of its own; returns the status, or 0 without an answer.
int send(const Endpoint &to, const std::string &line, const std::string &attempt,
         const std::string &body)
{
    const Socket socket = connectTo(to, milliseconds(1000));
    if (!socket.isOpen())
        return 0;
    socket.sendAll(line + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt
                   + "\r\nDeadline-Ms: 1000\r\nContent-Length: " + std::to_string(body.size())
                   + "\r\n\r\n" + body);
    MessageReader reader(socket);
    const auto response = reader.read(milliseconds(1000));
    return response ? response->status() : 0;
}

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
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < 2; ++i) {
        const Endpoint path{ subnet + "200", kStorePort + i };
        if (!store.listen(path))
            return 2;
        Gateway::Settings settings{ "edge-" + std::to_string(i), "east",
                                    subnet + std::to_string(10 + i), path, kBasePort };
        settings.cpuShare = i == 0 ? 0.5 : 0.2;
        settings.zones = { "east" };
        gateways.push_back(std::make_unique<Gateway>(settings, temporary.path()));
    }
    store.append("keyed.op", "config",
                 configuration(1, "orders", "unsafe", milliseconds(1000), milliseconds(300), 2));
    std::vector<Backend *> backends;
    for (int i = 0; i < kBackends; ++i) {
        backends.push_back(new Backend({ "i-" + std::to_string(i),
                                         "orders",
                                         "east",
                                         { subnet + "100", kBackendPort + i },
                                         4,
                                         8,
                                         milliseconds(120) },
                                       store, record));
        if (troubleWanted())
            backends.back()->crashOnPoison();
        if (!backends.back()->start())
            return 2;
    }
    if (!startInOrder(gateways))
        return 2;
    std::this_thread::sleep_for(milliseconds(8000));
    std::atomic<bool> stop = false;
    std::atomic<int> served = 0;
    std::atomic<int> lost = 0;
    const auto addressFor = [&](int n) {
        const auto addresses = resolve(gateways[0]->directory(), "shop.example", "east");
        return addresses.empty() ? gateways[0]->callers()
                                 : addresses[static_cast<std::size_t>(n) % addresses.size()];
    };
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
        clients.emplace_back([&, i] {
            for (int k = 0; !stop; ++k) {
                const std::string attempt = "c" + std::to_string(i) + "-" + std::to_string(k);
                const int status = send(addressFor(i + k), "POST /shop/order", attempt, "order");
                record.write("order " + attempt + " answer " + std::to_string(status));
                served += status == 200 ? 1 : 0;
                // Neither an answer nor the promise that the order has not run.
                lost += status == 0 || status == 502 || status == 504 ? 1 : 0;
                std::this_thread::sleep_for(milliseconds(100));
            }
        });
    }
    std::this_thread::sleep_for(milliseconds(3000));
    for (int k = 0; k < kPoisonRequests; ++k) {
        // The client retries a safe request once after a failure.
        for (const char *part : { "a", "b" }) {
            const std::string attempt = "p" + std::to_string(k) + part;
            const int status = send(addressFor(k), "GET /list/poison", attempt, "");
            record.write("request " + attempt + " answer " + std::to_string(status));
            if (status == 200)
                break;
        }
        std::this_thread::sleep_for(kPoisonPeriod);
    }
    stop = true;
    for (std::thread &it : clients)
        it.join();
    std::vector<TimePoint> crashes;
    std::vector<Arrival> arrivals;
    for (const Backend *backend : backends) {
        for (const TimePoint &it : backend->crashes())
            crashes.push_back(it);
        for (const Arrival &it : backend->runs()) {
            if (it.attempt.starts_with("p"))
                arrivals.push_back(it);
        }
    }
    std::sort(crashes.begin(), crashes.end());
    std::sort(arrivals.begin(), arrivals.end(),
              [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
    std::set<std::string> seen;
    std::size_t retries = 0;
    for (const Arrival &it : arrivals) {
        const bool isRetry = !seen.insert(it.attempt).second;
        if (!isRetry || crashes.size() < 3 || it.at <= crashes[2] + kContact)
            continue;
        record.write("retry by rule BUDGET: " + it.attempt + " at " + it.backend);
        ++retries;
    }
    bool running = true;
    for (const auto &it : gateways)
        running = it->isRunning() && running;
    record.tell("crashes " + std::to_string(crashes.size())
                + ", retries later than contact after the third crash " + std::to_string(retries)
                + ", orders served " + std::to_string(served.load())
                + ", orders with an unknown outcome " + std::to_string(lost.load()));
    if (served < 200 || !running) {
        record.tell("the case could not run");
        return 2;
    }
    return retries > kAllowedRetries ? 1 : 0;
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::_Exit(run());
}
