#pragma once

#include "net.h"

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace review {

/// Writes what was sent, answered and run to record.txt, with the time since its creation.
/// Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {}

    void write(const std::string &line);
    /// Writes to the record and to standard output.
    void tell(const std::string &line);
    double seconds() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const TimePoint m_start = Clock::now();
};

/// The platform's store: the topics keyed.op and keyed.servers and the groups of members. Each
/// machine reaches it at an address of its own, so that it can turn away single machines.
/// Thread-safe.
class Store
{
public:
    /// Silent never answers, Busy answers every call with 503.
    enum class Path { Open, Silent, Busy };

    ~Store();

    /// Adds the address for one more machine. Returns false if it is in use.
    bool listen(const Endpoint &at);
    /// Appends a record; no value removes the key. Returns when the store has accepted it.
    TimePoint append(const std::string &topic, const std::string &key,
                     const std::optional<std::string> &value);
    void setPath(std::size_t machine, Path path);
    void setAllPaths(Path path);

private:
    struct Entry
    {
        std::string key;
        std::optional<std::string> value;
    };
    struct Partition
    {
        std::string topic;
        int number = 0;
        std::string owner;
    };
    struct Group
    {
        std::map<std::string, TimePoint> members;
        std::vector<Partition> partitions;
        std::int64_t generation = 0;

        /// The member that a partition belongs to after all hand-overs.
        const std::string &nextOwner(std::size_t partition) const;
        void addTopic(const std::string &topic);
        /// Hands the partitions over that belong to another member now. The owner keeps them until
        /// it has joined with the current generation, unless \a isGone.
        void handOver(const std::string &owner, bool isGone);
        void removeExpired();
    };
    struct MachinePath
    {
        Server server;
        std::atomic<Path> state = Path::Open;
    };

    void serve(Socket &socket, MachinePath &path);
    std::string answer(const Message &request, const MachinePath &path, const Socket &socket);
    std::string read(const Message &request, const MachinePath &path, const Socket &socket);
    std::string newest(const Message &request);
    std::string join(const Message &request);
    std::string leave(const Message &request);
    std::string owners(const Message &request);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Entry>> m_topics;
    std::map<std::string, Group> m_groups;
    std::vector<std::unique_ptr<MachinePath>> m_paths;
    std::atomic<bool> m_stopped = false;
};

/// One gateway process, started with the command of the deploy file.
class Gateway
{
public:
    struct Settings
    {
        std::string name;
        std::string zone;
        std::string host;
        Endpoint store;
        int firstPort = 0;
        double cpuShare = 0.2;
        int memoryMb = 260;
        /// Names of all zones; all are in the region "north".
        std::vector<std::string> zones{};
    };

    Gateway(Settings settings, std::string folder);
    ~Gateway();

    void start();
    void signal(int number) const;
    /// True while the process runs.
    bool isRunning();
    /// Resident memory, in MB.
    int memoryMb() const;

    Endpoint callers() const { return { m_settings.host, m_settings.firstPort }; }
    Endpoint readiness() const { return { m_settings.host, m_settings.firstPort + 1 }; }
    Endpoint directory() const { return { m_settings.host, m_settings.firstPort + 3 }; }
    const Settings &settings() const { return m_settings; }

private:
    const Settings m_settings;
    const std::string m_folder;
    int m_pid = 0;
};

/// What a backend saw of one request.
struct Arrival
{
    std::string attempt;
    std::string backend;
    TimePoint at;
};

/// One incarnation of a backend. Registers in the store, runs requests in slots, queues a few more
/// and rejects the rest. Thread-safe.
class Backend
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        std::string zone;
        Endpoint address;
        int slots = 4;
        int queue = 8;
        milliseconds work{ 60 };
        /// Share of the requests that are rejected though there is room.
        double shedShare = 0;
        /// Share of the answers that are sent a second time, at the point where the next answer of
        /// the connection is due.
        double extraShare = 0;
    };

    Backend(Settings settings, Store &store, Record &record);
    ~Backend();

    bool start();
    /// Removes the registration without a notice of it. The backend goes on serving, but answers
    /// its health path with 503 and closes each connection after the response.
    TimePoint unregister();
    const std::string &name() const { return m_settings.id; }
    /// Requests that began to run, in their order.
    std::vector<Arrival> runs() const;
    /// Answers that were sent a second time.
    int extras() const { return m_extras; }
    /// Lets each request whose path ends in "/poison" crash the backend that begins to run it.
    void crashOnPoison() { m_crashesOnPoison = true; }
    /// Times of the crashes.
    std::vector<TimePoint> crashes() const;
    void setFaults(double shedShare, double extraShare);
    /// Sets the share of the requests that run and then fail with 503, without Not-Executed.
    void setFailShare(double share) { m_failShare = share; }

private:
    void serve(Socket &socket);
    void serveRequests(Socket &socket);
    bool listen();
    void publish();
    /// Ends all connections and runs, and starts again some seconds later under another id.
    void crash();
    std::string id() const;
    std::string loadHeader() const;
    std::string warmupHeader() const;
    double draw();

    const Settings m_settings;
    Store &m_store;
    Record &m_record;
    Server m_server;
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    std::vector<Arrival> m_runs;
    std::uint64_t m_random = 0x9E3779B97F4A7C15;
    std::int64_t m_born = 0;
    int m_incarnation = 0;
    TimePoint m_warmAt;
    std::set<Socket *> m_connections;
    std::vector<TimePoint> m_crashes;
    std::atomic<bool> m_crashesOnPoison = false;
    int m_running = 0;
    int m_waiting = 0;
    std::atomic<double> m_shedShare = 0;
    std::atomic<double> m_extraShare = 0;
    std::atomic<double> m_failShare = 0;
    std::atomic<bool> m_isLeaving = false;
    std::atomic<int> m_extras = 0;
};

/// Returns a subnet "127.a.b." of the loopback network; the hosts 10, 100 and 200 in it do not use
/// \a ports.
std::string freeSubnet(const std::vector<int> &ports);
/// Creates a temporary folder, which the destructor removes.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

/// True unless the environment variable TROUBLE is 0.
bool troubleWanted();
/// Starts all gateways within 0.3 s, the first one before the others, and waits until they are
/// ready. If the first one is the largest, which the others choose to read the store, this order
/// avoids the fault of case 3.
bool startInOrder(const std::vector<std::unique_ptr<Gateway>> &gateways);
/// Waits until the gateway is ready; returns false after 20 s.
bool waitUntilReady(const Gateway &gateway);
/// Asks a directory where to connect; empty if it has no answer.
std::vector<Endpoint> resolve(const Endpoint &directory, const std::string &host,
                              const std::string &zone);
/// A configuration with one service, to which lead a route "/shop/" of the given kind and a safe
/// route "/list/".
std::string configuration(int version, const std::string &service, const std::string &kind,
                          milliseconds timeout, milliseconds targetLatency, int maxAttempts);

} // namespace review
