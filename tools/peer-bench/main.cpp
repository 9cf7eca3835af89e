#include "peercluster.h"

#include "base/log.h"
#include "base/seededrandom.h"
#include "transport/tests/floodsimulation.h"

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace {

using namespace lycheebay;
using nlohmann::json;

constexpr Duration kFormationLimit = std::chrono::seconds(90);
// Asking all nodes for all peers takes their locks; more often would slow the formation down.
constexpr Duration kFormationPoll = std::chrono::milliseconds(200);
constexpr Duration kReachLimit = std::chrono::seconds(30);
constexpr std::size_t kPublishedRecords = 20;

struct Options
{
    std::vector<std::size_t> nodes;
    std::vector<std::size_t> members;
    std::size_t regions = 2;
    int seconds = 10;
    std::uint64_t seed = 1;
    bool rosterFirst = false;
};

/// Processor time, memory and traffic of the whole process at one moment.
struct Sample
{
    TimePoint at;
    double cpuSeconds = 0;
    std::vector<PeerTraffic> traffic;
};

double seconds(const timeval &time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
}

std::size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t pages = 0;
    std::size_t resident = 0;
    statm >> pages >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

Sample sample(const PeerCluster &cluster)
{
    Sample result;
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    result.at = SystemClock().now();
    result.cpuSeconds = seconds(usage.ru_utime) + seconds(usage.ru_stime);
    for (std::size_t i = 0; i < cluster.size(); ++i)
        result.traffic.push_back(cluster.traffic(i));
    return result;
}

struct Rates
{
    double bytesOut = 0;
    double bytesIn = 0;
    double bytesBetweenRegions = 0;
    double framesOut = 0;
};

Rates ratesOf(const PeerTraffic &before, const PeerTraffic &after, double elapsed)
{
    Rates rates;
    for (std::size_t kind = 0; kind < kPeerMessageKindCount; ++kind) {
        for (const auto side : { &PeerTraffic::inRegion, &PeerTraffic::betweenRegions }) {
            const PeerMessageTraffic &a = (before.*side)[kind];
            const PeerMessageTraffic &b = (after.*side)[kind];
            const double out = static_cast<double>(b.bytesOut - a.bytesOut);
            const double in = static_cast<double>(b.bytesIn - a.bytesIn);
            rates.bytesOut += out / elapsed;
            rates.bytesIn += in / elapsed;
            rates.framesOut += static_cast<double>(b.framesOut - a.framesOut) / elapsed;
            if (side == &PeerTraffic::betweenRegions)
                rates.bytesBetweenRegions += (in + out) / elapsed;
        }
    }
    return rates;
}

json measureIdle(const PeerCluster &cluster, int durationSeconds)
{
    const Sample before = sample(cluster);
    waitFor([] { return false; }, std::chrono::seconds(durationSeconds));
    const Sample after = sample(cluster);
    const double elapsed = std::chrono::duration<double>(after.at - before.at).count();
    const double nodes = static_cast<double>(cluster.size());
    Rates sum;
    double greatest = 0;
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        const Rates rates = ratesOf(before.traffic[i], after.traffic[i], elapsed);
        sum.bytesOut += rates.bytesOut;
        sum.bytesIn += rates.bytesIn;
        sum.framesOut += rates.framesOut;
        sum.bytesBetweenRegions += rates.bytesBetweenRegions;
        greatest = std::max(greatest, rates.bytesOut + rates.bytesIn);
    }
    const double cpu = (after.cpuSeconds - before.cpuSeconds) / elapsed;
    return { { "bytesOutPerSecond", sum.bytesOut / nodes },
             { "bytesInPerSecond", sum.bytesIn / nodes },
             { "greatestBytesPerSecond", greatest },
             { "betweenRegionsBytesPerSecondTotal", sum.bytesBetweenRegions / 2 },
             { "framesOutPerSecond", sum.framesOut / nodes },
             { "cpuPercentOfACore", 100 * cpu / nodes } };
}

json measureReach(PeerCluster &cluster, SeededRandom &random)
{
    std::vector<double> times;
    std::size_t lost = 0;
    for (std::size_t i = 0; i < kPublishedRecords; ++i) {
        const Duration time = cluster.timeToReachAll(random.below(cluster.size()), kReachLimit);
        if (time < Duration::zero())
            ++lost;
        else
            times.push_back(std::chrono::duration<double, std::milli>(time).count());
    }
    std::sort(times.begin(), times.end());
    if (times.empty())
        return { { "lost", lost } };
    return { { "records", times.size() },
             { "lost", lost },
             { "medianMs", times[times.size() / 2] },
             { "greatestMs", times.back() } };
}

json measureCluster(const Options &options, std::size_t nodes, std::size_t residentBefore)
{
    ClusterSettings settings;
    settings.nodes = nodes;
    settings.regions = options.regions;
    settings.seed = options.seed;
    PeerCluster cluster(settings);
    json result{ { "nodes", nodes }, { "regions", options.regions } };
    const TimePoint begin = SystemClock().now();
    const absl::Status status = cluster.start();
    if (!status.ok()) {
        result["error"] = std::string(status.message());
        return result;
    }
    if (options.rosterFirst)
        cluster.setRoster();
    result["complete"] =
            waitFor([&] { return cluster.isComplete(); }, kFormationLimit, kFormationPoll);
    result["formationSeconds"] = std::chrono::duration<double>(SystemClock().now() - begin).count();
    cluster.setRoster();
    // The tables agree after a few heartbeats; what is measured then is the idle state.
    waitFor([] { return false; }, std::chrono::seconds(5));
    result["idlePerNode"] = measureIdle(cluster, options.seconds);
    SeededRandom random(options.seed);
    result["reach"] = measureReach(cluster, random);
    std::size_t links = 0;
    for (std::size_t i = 0; i < cluster.size(); ++i)
        links += cluster.links(i);
    result["linksPerNode"] = static_cast<double>(links) / static_cast<double>(nodes);
    result["residentBytesPerNode"] =
            (static_cast<double>(residentBytes()) - static_cast<double>(residentBefore))
            / static_cast<double>(nodes);
    return result;
}

json simulate(const Options &options, std::size_t members, std::size_t regions)
{
    SeededRandom random(options.seed);
    const FloodResult flood = FloodSimulation(members, regions).run(random);
    return { { "members", flood.members },
             { "regions", regions },
             { "links", flood.links },
             { "reached", flood.reached },
             { "messages", flood.messages },
             { "messagesPerMember",
               static_cast<double>(flood.messages) / static_cast<double>(members) },
             { "greatestCopies", flood.maxCopies },
             { "betweenRegions", flood.betweenRegions },
             { "rounds", flood.rounds } };
}

Options parse(int argc, char **argv)
{
    TCLAP::CmdLine line("Measures peer links between nodes of one process.", ' ', "0.1");
    TCLAP::MultiArg<std::size_t> nodes("n", "nodes", "nodes with real links (18, 60, 150)", false,
                                       "count", line);
    TCLAP::MultiArg<std::size_t> members("m", "members", "members of the pure simulation", false,
                                         "count", line);
    TCLAP::ValueArg<std::size_t> regions("r", "regions", "regions", false, 2, "count", line);
    TCLAP::ValueArg<int> duration("d", "seconds", "duration of the idle measurement", false, 10,
                                  "seconds", line);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed of the random choices", false, 1,
                                        "number", line);
    TCLAP::SwitchArg rosterFirst("", "roster-first", "start with a known roster", line);
    line.parse(argc, argv);
    Options options;
    options.nodes = nodes.isSet() ? nodes.getValue() : std::vector<std::size_t>{ 18, 60, 150 };
    options.members =
            members.isSet() ? members.getValue() : std::vector<std::size_t>{ 18, 200, 1000, 4000 };
    options.regions = std::max<std::size_t>(1, regions.getValue());
    options.seconds = std::clamp(duration.getValue(), 1, 600);
    options.seed = seed.getValue();
    options.rosterFirst = rosterFirst.getValue();
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    lycheebay::initializeLogging("ERROR");
    const Options options = parse(argc, argv);
    const std::size_t residentBefore = residentBytes();
    json result{ { "seed", options.seed },
                 { "clusters", json::array() },
                 { "floods", json::array() } };
    for (const std::size_t nodes : options.nodes)
        result["clusters"].push_back(measureCluster(options, nodes, residentBefore));
    for (const std::size_t members : options.members) {
        for (const std::size_t regions : { std::size_t{ 2 }, std::size_t{ 11 } })
            result["floods"].push_back(simulate(options, members, regions));
    }
    std::cout << result.dump(2) << std::endl;
    return 0;
}
