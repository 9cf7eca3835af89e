#include "estate.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace review {

namespace {

constexpr int kPartitionsPerTopic = 8;
// How long a backend that has crashed is down, and until its entry is removed from the store.
constexpr milliseconds kDownTime{ 3000 };
constexpr milliseconds kEntryLifetime{ 4500 };
constexpr milliseconds kWarmup{ 3000 };
constexpr milliseconds kStartDelay{ 250 };
constexpr char kClose[] = "Connection: close\r\n";
// From the begin of a run to the crash that it causes.
constexpr milliseconds kPoisonTime{ 20 };

std::string httpResponse(int status, const std::string &reason, const std::string &headers,
                         const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + ' ' + reason + "\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string jsonResponse(const std::string &body)
{
    return httpResponse(200, "OK", "Content-Type: application/json\r\n", body);
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
        text += static_cast<char>(value >> static_cast<unsigned>(8 * i));
    return text;
}

std::string base64(const std::string &bytes)
{
    static constexpr char kAlphabet[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = (group << 8)
                    | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? kAlphabet[(group >> (18 - 6 * k)) & 63] : '=';
    }
    return text;
}

/// Returns the text of a string field of a flat JSON object, or the number of a numeric one.
std::string jsonField(const std::string &body, const std::string &name)
{
    std::size_t at = body.find('"' + name + '"');
    if (at == std::string::npos)
        return {};
    at = body.find(':', at) + 1;
    at = body.find_first_not_of(' ', at);
    if (body[at] == '"')
        return body.substr(at + 1, body.find('"', at + 1) - at - 1);
    return body.substr(at, body.find_first_of(",}", at) - at);
}

std::vector<std::string> jsonList(const std::string &body, const std::string &name)
{
    std::vector<std::string> items;
    std::size_t at = body.find('"' + name + '"');
    if (at == std::string::npos)
        return items;
    const std::size_t end = body.find(']', at);
    at = body.find('[', at);
    while ((at = body.find('"', at + 1)) < end) {
        const std::size_t close = body.find('"', at + 1);
        items.push_back(body.substr(at + 1, close - at - 1));
        at = close;
    }
    return items;
}

milliseconds parseDuration(const std::string &text)
{
    const double value = std::atof(text.c_str());
    return milliseconds(static_cast<int>(text.ends_with("ms") ? value : value * 1000));
}

} // namespace

void Record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.4f ", seconds());
    m_file << time << line << '\n' << std::flush;
}

void Record::tell(const std::string &line)
{
    write(line);
    std::cout << line << std::endl;
}

double Record::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - m_start).count();
}

Store::~Store()
{
    m_stopped = true;
    m_changed.notify_all();
}

bool Store::listen(const Endpoint &at)
{
    m_paths.push_back(std::make_unique<MachinePath>());
    MachinePath &path = *m_paths.back();
    return path.server.start(at, [this, &path](Socket &socket) { serve(socket, path); });
}

TimePoint Store::append(const std::string &topic, const std::string &key,
                        const std::optional<std::string> &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({ key, value });
    m_changed.notify_all();
    return Clock::now();
}

void Store::setPath(std::size_t machine, Path path)
{
    m_paths[machine]->state = path;
}

void Store::setAllPaths(Path path)
{
    for (const auto &it : m_paths)
        it->state = path;
}

void Store::serve(Socket &socket, MachinePath &path)
{
    MessageReader reader(socket);
    while (!m_stopped) {
        const auto request = reader.read(milliseconds(500));
        if (!request) {
            if (reader.hasEnded())
                return;
            continue;
        }
        std::string response;
        if (path.state == Path::Open)
            response = answer(*request, path, socket);
        if (path.state == Path::Busy)
            response = httpResponse(503, "Service Unavailable", "", "");
        // A connection on which a response is lost returns nothing further.
        if (response.empty() || path.state == Path::Silent) {
            while (!m_stopped && !reader.hasEnded())
                reader.read(milliseconds(500));
            return;
        }
        if (!socket.sendAll(response))
            return;
    }
}

std::string Store::answer(const Message &request, const MachinePath &path, const Socket &socket)
{
    std::this_thread::sleep_for(milliseconds(4));
    const std::string target = request.path();
    if (target == "/log-read")
        return read(request, path, socket);
    if (target == "/log-newest")
        return newest(request);
    if (target == "/log-join")
        return join(request);
    if (target == "/log-leave")
        return leave(request);
    if (target == "/log-owners")
        return owners(request);
    return httpResponse(404, "Not Found", "", "{}");
}

std::string Store::read(const Message &request, const MachinePath &path, const Socket &socket)
{
    const std::string topic = request.query("topic");
    const auto from = std::strtoull(request.query("from").c_str(), nullptr, 10);
    const TimePoint until =
            Clock::now() + milliseconds(std::atoi(request.query("wait_ms").c_str()));
    std::unique_lock lock(m_mutex);
    // Wakes now and then, so that the read of a machine that is turned away meanwhile is not
    // answered.
    while (!m_stopped && m_topics[topic].size() <= from && Clock::now() < until) {
        m_changed.wait_until(lock, std::min(until, Clock::now() + milliseconds(20)));
        if (path.state != Path::Open || !socket.isOpen())
            return {};
    }
    const std::vector<Entry> &entries = m_topics[topic];
    std::string body = bigEndian(entries.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < entries.size(); ++i) {
        const std::string content = static_cast<char>(entries[i].key.size()) + entries[i].key
                                    + entries[i].value.value_or("");
        body += bigEndian(content.size(), 4) + content;
    }
    return httpResponse(200, "OK", "", body);
}

std::string Store::newest(const Message &request)
{
    const std::lock_guard lock(m_mutex);
    const std::vector<Entry> &entries = m_topics[request.query("topic")];
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < entries.size(); ++i)
        last[entries[i].key] = i;
    std::string items;
    for (const auto &[key, i] : last) {
        if (!entries[i].value)
            continue;
        items += (items.empty() ? "" : ",") + ("{\"key\":\"" + key) + "\",\"value\":\""
                 + base64(*entries[i].value) + "\",\"offset\":" + std::to_string(i) + '}';
    }
    return jsonResponse("{\"items\":[" + items
                        + "],\"more\":false,\"end\":" + std::to_string(entries.size()) + '}');
}

const std::string &Store::Group::nextOwner(std::size_t partition) const
{
    auto it = members.begin();
    std::advance(it, partition % members.size());
    return it->first;
}

void Store::Group::addTopic(const std::string &topic)
{
    const bool isKnown = std::any_of(partitions.begin(), partitions.end(),
                                     [&](const Partition &it) { return it.topic == topic; });
    for (int i = 0; i < kPartitionsPerTopic && !isKnown; ++i)
        partitions.push_back({ topic, i, nextOwner(partitions.size()) });
}

void Store::Group::handOver(const std::string &owner, bool isGone)
{
    bool isChanged = isGone;
    for (std::size_t i = 0; i < partitions.size(); ++i) {
        if (partitions[i].owner != owner && !partitions[i].owner.empty())
            continue;
        const std::string next = members.empty() ? std::string() : nextOwner(i);
        isChanged = isChanged || partitions[i].owner != next;
        partitions[i].owner = next;
    }
    generation += isChanged ? 1 : 0;
}

void Store::Group::removeExpired()
{
    std::vector<std::string> gone;
    for (const auto &[member, expiry] : members) {
        if (expiry <= Clock::now())
            gone.push_back(member);
    }
    for (const std::string &it : gone) {
        members.erase(it);
        handOver(it, true);
    }
}

std::string Store::join(const Message &request)
{
    const std::lock_guard lock(m_mutex);
    Group &group = m_groups[jsonField(request.body, "group")];
    group.removeExpired();
    const std::string member = jsonField(request.body, "member");
    const bool isNew = !group.members.contains(member);
    group.members[member] = Clock::now() + parseDuration(jsonField(request.body, "ttl_time"));
    if (isNew)
        ++group.generation;
    for (const std::string &it : jsonList(request.body, "topics"))
        group.addTopic(it);
    if (std::atoll(jsonField(request.body, "generation").c_str()) >= group.generation)
        group.handOver(member, false);
    std::string parts;
    for (std::size_t i = 0; i < group.partitions.size(); ++i) {
        const Partition &it = group.partitions[i];
        if (it.owner == member && group.nextOwner(i) == member) {
            parts += (parts.empty() ? "[\"" : ",[\"") + it.topic + "\"," + std::to_string(it.number)
                     + ",0]";
        }
    }
    return jsonResponse("{\"generation\":" + std::to_string(group.generation) + ",\"ttl_time\":\""
                        + jsonField(request.body, "ttl_time") + "\",\"parts\":[" + parts + "]}");
}

std::string Store::leave(const Message &request)
{
    const std::lock_guard lock(m_mutex);
    Group &group = m_groups[jsonField(request.body, "group")];
    const std::string member = jsonField(request.body, "member");
    if (group.members.erase(member) > 0)
        group.handOver(member, true);
    return jsonResponse("{}");
}

std::string Store::owners(const Message &request)
{
    const std::lock_guard lock(m_mutex);
    Group &group = m_groups[request.query("group")];
    group.removeExpired();
    std::string rows;
    for (const Partition &it : group.partitions) {
        rows += (rows.empty() ? "[\"" : ",[\"") + it.topic + "\"," + std::to_string(it.number)
                + ",\"" + it.owner + "\",0]";
    }
    return jsonResponse("{\"parts\":[" + rows + "]}");
}

Gateway::Gateway(Settings settings, std::string folder)
    : m_settings(std::move(settings))
    , m_folder(std::move(folder))
{}

Gateway::~Gateway()
{
    if (!isRunning())
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void Gateway::start()
{
    const std::string path = m_folder + '/' + m_settings.name;
    std::ofstream file(path + ".yaml");
    file << "self:\n  node_name: \"" << m_settings.name << "\"\n  role: \"gateway\"\n"
         << "  machine_class: \"edge\"\n  serves: [\"edge\", \"directory\"]\n  ip: \""
         << m_settings.host << "\"\n  zone: \"" << m_settings.zone
         << "\"\n  region: \"north\"\n  counts_as_loss: false\n  bootstrap: "
         << (m_pid == 0 ? "true" : "false")
         << "\n  data_dir: null\n  limits:\n    cpu_share: " << m_settings.cpuShare
         << "\n    cpus: 1\n    memory_mb: " << m_settings.memoryMb
         << "\n    max_open_files: 4100\n    bandwidth_mbps: 1000.0\n    disk_mb: 0\n"
         << "network:\n  listen:\n    http: \"" << callers().toString() << "\"\n    readiness: \""
         << readiness().toString() << "\"\n    directory: \"" << directory().toString()
         << "\"\n  internal_ports: [" << m_settings.firstPort + 4 << ", "
         << m_settings.firstPort + 19 << "]\n  seeds: []\n  zones:\n";
    for (const std::string &it : m_settings.zones)
        file << "    " << it << ": \"north\"\n";
    file << "platform:\n  discovery: \"platform\"\n  entry: \"directory\"\n  heartbeat: "
            "\"1500ms\"\n"
         << "  platform:\n    address: \"" << m_settings.store.toString()
         << "\"\n    form: \"log\"\n    writes_per_s: 400\n    reads_per_s: 2000\n    parts: 8\n"
         << "    append: \"4ms\"\n    keep: \"300s\"\n    ttl_min: \"1000ms\"\n"
         << "terms:\n  bounds:\n    seed_lag: \"3s\"\n    reuse_after: \"2s\"\n"
         << "    contact: \"3000ms\"\n    ack_timeout: \"4000ms\"\n    catch_up: \"4s\"\n"
         << "    drain_timeout: \"2000ms\"\n    grace_period: \"6s\"\n    loss_slack: \"200ms\"\n"
         << "    config_apply: \"2000ms\"\n    downgrade_slack: \"250ms\"\n"
         << "    max_skew: \"5000ms\"\n    retry_budget_ratio: 0.2\n    retry_window: \"10s\"\n"
         << "    retry_budget_slack: 62\n    warmup_overage: 1.5\n    warmup_slack: 5\n"
         << "    evacuate: \"5000ms\"\n    recovery: \"15s\"\n    ttl_max: \"5s\"\n"
         << "    probes_per_s: 60\n";
    file.close();
    const std::string boot = "LYCHEEBAY_BOOT=" + path + ".yaml";
    const std::string log = path + ".log";
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    // The process ends with the test, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    constexpr unsigned kMaxDescriptor = 4096;
    for (unsigned fd = STDERR_FILENO + 1; fd < kMaxDescriptor; ++fd)
        ::close(static_cast<int>(fd));
    const char *arguments[] = { "target/bin/lycheebay-platformd", nullptr };
    const char *environment[] = { boot.c_str(), "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C.UTF-8",
                                  nullptr };
    ::execve(arguments[0], const_cast<char **>(arguments), const_cast<char **>(environment));
    std::_Exit(127);
}

void Gateway::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

bool Gateway::isRunning()
{
    if (m_pid <= 0)
        return false;
    if (::waitpid(m_pid, nullptr, WNOHANG) == 0)
        return true;
    m_pid = -1;
    return false;
}

int Gateway::memoryMb() const
{
    constexpr std::string_view kField = "VmRSS:";
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(kField))
            return std::atoi(line.c_str() + kField.size()) / 1024;
    }
    return 0;
}

Backend::Backend(Settings settings, Store &store, Record &record)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_record(record)
{
    setFaults(m_settings.shedShare, m_settings.extraShare);
    for (const char it : m_settings.id)
        m_random = m_random * 6364136223846793005 + static_cast<unsigned char>(it);
}

Backend::~Backend()
{
    m_server.stop();
}

bool Backend::listen()
{
    return m_server.start(m_settings.address, [this](Socket &socket) { serve(socket); });
}

bool Backend::start()
{
    if (!listen())
        return false;
    publish();
    return true;
}

void Backend::setFaults(double shedShare, double extraShare)
{
    m_shedShare = shedShare;
    m_extraShare = extraShare;
}

std::string Backend::id() const
{
    return m_settings.id + (m_incarnation > 0 ? "-" + std::to_string(m_incarnation) : "");
}

void Backend::publish()
{
    m_born = std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
    const auto cold = std::max(m_warmAt - Clock::now(), Clock::duration::zero());
    const auto coldMs = std::chrono::duration_cast<milliseconds>(cold).count();
    m_store.append("keyed.servers", id(),
                   "{\"service\":\"" + m_settings.service + "\",\"address\":\""
                           + m_settings.address.toString() + "\",\"zone\":\"" + m_settings.zone
                           + "\",\"version\":\"v1\",\"max_concurrency\":"
                           + std::to_string(m_settings.slots)
                           + ",\"phase\":\"ready\",\"warmup_left\":\"" + std::to_string(coldMs)
                           + "ms\",\"sequence\":1,\"born\":" + std::to_string(m_born) + '}');
}

TimePoint Backend::unregister()
{
    m_isLeaving = true;
    return m_store.append("keyed.servers", m_settings.id, std::nullopt);
}

void Backend::crash()
{
    const std::string old = id();
    {
        const std::lock_guard lock(m_mutex);
        m_crashes.push_back(Clock::now());
        ++m_incarnation;
        m_running = 0;
        m_waiting = 0;
        for (const Socket *it : m_connections)
            it->shutDown();
    }
    m_record.write("crash of " + old);
    m_server.stop();
    std::thread([this, old] {
        std::this_thread::sleep_for(kDownTime);
        {
            const std::lock_guard lock(m_mutex);
            m_warmAt = Clock::now() + kWarmup;
        }
        listen();
        publish();
        m_record.write("start of " + id());
        // An entry goes after three heartbeats of silence.
        std::this_thread::sleep_for(kEntryLifetime - kDownTime);
        m_store.append("keyed.servers", old, std::nullopt);
    }).detach();
}

std::vector<Arrival> Backend::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::vector<TimePoint> Backend::crashes() const
{
    const std::lock_guard lock(m_mutex);
    return m_crashes;
}

double Backend::draw()
{
    const std::lock_guard lock(m_mutex);
    m_random ^= m_random << 13;
    m_random ^= m_random >> 7;
    m_random ^= m_random << 17;
    return static_cast<double>(m_random >> 11) * 0x1.0p-53;
}

std::string Backend::loadHeader() const
{
    return "Backend-Load: " + std::to_string(m_running) + ',' + std::to_string(m_waiting) + ','
           + std::to_string(m_settings.slots) + ",100\r\n";
}

std::string Backend::warmupHeader() const
{
    const auto cold = std::max(m_warmAt - Clock::now(), Clock::duration::zero());
    const auto ms = std::chrono::duration_cast<milliseconds>(cold).count();
    return "Warmup-Ms: " + std::to_string(ms) + "\r\n";
}

void Backend::serve(Socket &socket)
{
    {
        const std::lock_guard lock(m_mutex);
        m_connections.insert(&socket);
    }
    serveRequests(socket);
    const std::lock_guard lock(m_mutex);
    m_connections.erase(&socket);
}

void Backend::serveRequests(Socket &socket)
{
    MessageReader reader(socket);
    std::string extra;
    while (true) {
        // Idle connections are closed after 10 s.
        const auto request = reader.read(milliseconds(10000));
        if (!request)
            return;
        std::unique_lock lock(m_mutex);
        const int incarnation = m_incarnation;
        const std::string self = id();
        if (request->path() == "/healthz") {
            const std::string headers =
                    "Instance-Id: " + self + "\r\n" + loadHeader() + warmupHeader();
            lock.unlock();
            const std::string response =
                    m_isLeaving ? httpResponse(503, "Service Unavailable", headers + kClose, "")
                                : httpResponse(200, "OK", headers, "");
            if (!socket.sendAll(response) || m_isLeaving)
                return;
            continue;
        }
        lock.unlock();
        const std::string attempt = request->header("attempt-id");
        const std::string about = self + " attempt=" + attempt;
        if (!extra.empty()) {
            ++m_extras;
            m_record.write("extra answer of " + about);
            if (!socket.sendAll(extra))
                return;
            extra.clear();
        }
        const std::string expected = request->header("expected-instance");
        std::string response;
        if (!expected.empty() && expected != self) {
            response =
                    httpResponse(421, "Misdirected Request", "Instance-Id: " + self + "\r\n", "");
            m_record.write("421 by " + about);
        } else if (draw() < m_shedShare) {
            response = httpResponse(503, "Service Unavailable", "Not-Executed: 1\r\n", "");
            m_record.write("not run by " + about);
        } else {
            lock.lock();
            if (m_waiting >= m_settings.queue) {
                response = httpResponse(503, "Service Unavailable", "Not-Executed: 1\r\n", "");
                m_record.write("not run by " + about);
            } else {
                ++m_waiting;
                m_slotFreed.wait(lock, [&] {
                    return m_running < m_settings.slots || m_incarnation != incarnation;
                });
                if (m_incarnation != incarnation)
                    return;
                --m_waiting;
                ++m_running;
                m_runs.push_back({ attempt, self, Clock::now() });
                m_record.write("run by " + about);
                lock.unlock();
                if (m_crashesOnPoison && request->path().ends_with("/poison")) {
                    std::this_thread::sleep_for(kPoisonTime);
                    lock.lock();
                    const bool isFirst = m_incarnation == incarnation;
                    lock.unlock();
                    if (isFirst)
                        crash();
                    return;
                }
                std::this_thread::sleep_for(m_settings.work);
                lock.lock();
                if (m_incarnation != incarnation) {
                    m_record.write("run cut by the crash: " + about);
                    return;
                }
                --m_running;
                m_slotFreed.notify_one();
                const std::string load = "Attempt-Id: " + attempt + "\r\n" + loadHeader();
                lock.unlock();
                if (draw() < m_failShare) {
                    response = httpResponse(503, "Service Unavailable", load, "");
                    m_record.write("failed after its run at " + about);
                } else {
                    response = httpResponse(200, "OK",
                                            "Response-Seal: seal-" + attempt + "\r\n" + load,
                                            "done " + attempt + " by " + self);
                }
            }
        }
        if (m_isLeaving)
            response.insert(response.find("Content-Length"), kClose);
        if (!socket.sendAll(response) || m_isLeaving)
            return;
        if (draw() < m_extraShare)
            extra = response;
    }
}

std::string freeSubnet(const std::vector<int> &ports)
{
    const int seed = ::getpid();
    for (int i = 0; i < 200; ++i) {
        const std::string subnet = "127." + std::to_string(20 + (seed + i) % 200) + '.'
                                   + std::to_string(1 + (seed / 200 + i) % 250) + '.';
        const bool isFree = std::all_of(ports.begin(), ports.end(), [&](int port) {
            return listenOn({ subnet + "10", port }).isOpen()
                   && listenOn({ subnet + "100", port }).isOpen()
                   && listenOn({ subnet + "200", port }).isOpen();
        });
        if (isFree)
            return subnet;
    }
    return {};
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    m_path = ::mkdtemp(pattern.data()) ? pattern : std::string();
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ec;
    if (!m_path.empty() && !std::getenv("KEEP"))
        std::filesystem::remove_all(m_path, ec);
}

bool troubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

bool startInOrder(const std::vector<std::unique_ptr<Gateway>> &gateways)
{
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        gateways[i]->start();
        if (i == 0)
            std::this_thread::sleep_for(kStartDelay);
    }
    return std::all_of(gateways.begin(), gateways.end(),
                       [](const auto &it) { return waitUntilReady(*it); });
}

bool waitUntilReady(const Gateway &gateway)
{
    const TimePoint until = Clock::now() + milliseconds(20000);
    while (Clock::now() < until) {
        const Socket socket = connectTo(gateway.readiness(), milliseconds(500));
        if (socket.isOpen() && socket.sendAll("GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n")) {
            MessageReader reader(socket);
            const auto response = reader.read(milliseconds(500));
            if (response && response->status() == 200)
                return true;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

std::vector<Endpoint> resolve(const Endpoint &directory, const std::string &host,
                              const std::string &zone)
{
    std::vector<Endpoint> addresses;
    const Socket socket = connectTo(directory, milliseconds(1000));
    if (!socket.isOpen()
        || !socket.sendAll("GET /resolve?name=" + host + "&region=north&zone=" + zone
                           + " HTTP/1.1\r\nHost: d\r\n\r\n"))
        return addresses;
    MessageReader reader(socket);
    const auto response = reader.read(milliseconds(1000));
    if (!response || response->status() != 200)
        return addresses;
    for (const std::string &it : jsonList(response->body, "addresses")) {
        const std::size_t colon = it.find(':');
        addresses.push_back({ it.substr(0, colon), std::atoi(it.c_str() + colon + 1) });
    }
    return addresses;
}

std::string configuration(int version, const std::string &service, const std::string &kind,
                          milliseconds timeout, milliseconds targetLatency, int maxAttempts)
{
    std::ostringstream text;
    text << R"({"version":"r)" << version << R"(","services":[{"name":")" << service
         << R"(","health_path":"/healthz","max_connections":260,"protocol":"h1","tls":false,)"
         << R"("warmup":"3s","warmup_per_s":9.0}],"limits":{"max_header_bytes":16384,)"
         << R"("max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},)"
         << R"("hosts":[{"host":"shop.example","paths":[{"name":"route-1","path_prefix":"/shop/",)"
         << R"("kind":")" << kind << R"(","timeout":")" << timeout.count()
         << R"(ms","target_latency":")" << targetLatency.count()
         << R"(ms","priority":1,"service":")" << service << R"(","max_attempts":)" << maxAttempts
         << R"(,"allowed_regions":[]},{"name":"route-2","path_prefix":"/list/","kind":"safe",)"
         << R"("timeout":")" << timeout.count() << R"(ms","target_latency":")"
         << targetLatency.count() << R"(ms","priority":2,"service":")" << service
         << R"(","max_attempts":)" << maxAttempts << R"(,"allowed_regions":[]}]}]})";
    return text.str();
}

} // namespace review
