#include "tools/load/loadrun.h"

#include "tools/load/caller.h"
#include "tools/load/workload.h"

#include <fmt/format.h>
#include <httplib.h>

#include <sys/prctl.h>

#include <algorithm>
#include <fstream>
#include <random>
#include <thread>

namespace lycheebay::load {

using nlohmann::json;
using std::chrono::steady_clock;

namespace {

/// Time for the workers to start before the first request is due.
constexpr std::chrono::milliseconds kStartDelay(50);
/// The default slack of 50 us would be measured as latency.
constexpr unsigned long kTimerSlackNs = 1000;

void work(const LoadSettings &settings, Workload &workload, AddressBook &book,
          steady_clock::time_point start, std::vector<RequestRecord> &history)
{
    prctl(PR_SET_TIMERSLACK, kTimerSlackNs);
    Caller caller(settings, book, start);
    while (const auto request = workload.next()) {
        std::this_thread::sleep_until(start + std::chrono::microseconds(request->intendedUs));
        history.push_back(caller.run(*request));
    }
}

} // namespace

std::vector<RequestRecord> runLoad(const LoadSettings &settings)
{
    // Unique over runs, independent of the seed, so that the keys of two runs never collide.
    Workload workload(settings, fmt::format("r{:08x}", std::random_device()()));
    AddressBook book(settings.entries, settings.tenant);
    const auto start = steady_clock::now() + kStartDelay;
    std::vector<std::vector<RequestRecord>> histories(static_cast<std::size_t>(settings.workers));
    std::vector<std::thread> threads;
    threads.reserve(histories.size());
    for (auto &it : histories) {
        threads.emplace_back([&settings, &workload, &book, start, &it] {
            work(settings, workload, book, start, it);
        });
    }
    for (std::thread &it : threads)
        it.join();

    std::vector<RequestRecord> all;
    for (auto &it : histories)
        std::move(it.begin(), it.end(), std::back_inserter(all));
    std::sort(all.begin(), all.end(), [](const RequestRecord &a, const RequestRecord &b) {
        return a.intendedUs < b.intendedUs;
    });
    return all;
}

absl::Status writeHistory(const std::string &file, const std::vector<RequestRecord> &history)
{
    std::ofstream out(file);
    for (const RequestRecord &it : history)
        out << toJson(it).dump() << "\n";
    out.close();
    return out ? absl::OkStatus() : absl::UnavailableError("cannot write " + file);
}

absl::StatusOr<std::vector<RequestRecord>> readHistory(const std::string &file)
{
    std::ifstream in(file);
    if (!in)
        return absl::UnavailableError("cannot read " + file);
    std::vector<RequestRecord> history;
    std::string line;
    while (std::getline(in, line)) {
        try {
            history.push_back(fromJson(json::parse(line)));
        } catch (const json::exception &e) {
            return absl::InvalidArgumentError(
                    fmt::format("{}:{}: {}", file, history.size() + 1, e.what()));
        }
    }
    return history;
}

absl::StatusOr<RunCounts> fetchRunCounts(const std::vector<std::string> &targetControls)
{
    RunCounts counts;
    for (const std::string &it : targetControls) {
        const auto address = parseAddress(it);
        if (!address.ok())
            return address.status();
        httplib::Client client(address->host, address->port);
        const auto response = client.Get("/control/runs");
        if (!response || response->status != 200)
            return absl::UnavailableError("no run counts from " + it);
        const json runs = json::parse(response->body, nullptr, false);
        if (!runs.is_object())
            return absl::UnavailableError("malformed run counts from " + it);
        for (const auto &[key, count] : runs.items())
            counts[key] += count.get<std::uint64_t>();
    }
    return counts;
}

} // namespace lycheebay::load
