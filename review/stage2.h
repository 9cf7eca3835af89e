// Stand-ins and process control for the scripts of the second review: the platform's store,
// servers, clients and the gateway processes, on loopback addresses and the real clock. A thread
// serves each connection.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stage {

using Clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// Writes record.txt, with the time since the start in seconds before each line. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_start(Clock::now())
    {}
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list args;
        va_start(args, format);
        std::vsnprintf(text, sizeof text, format, args);
        va_end(args);
        const double at = std::chrono::duration<double>(Clock::now() - m_start).count();
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", at);
        const std::lock_guard lock(m_mutex);
        m_file << time << text << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const Clock::time_point m_start;
};

struct Address
{
    std::string host;
    int port = 0;
    std::string text() const { return host + ':' + std::to_string(port); }
};

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<std::uint16_t>(address.port));
    ::inet_pton(AF_INET, address.host.c_str(), &it.sin_addr);
    return it;
}

/// True if nothing is bound to the address.
inline bool isFree(const Address &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in at = toSockaddr(address);
    const bool free = ::bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0;
    ::close(fd);
    return free;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message
{
    std::string start;
    Headers headers;
    std::string body;

    std::string header(const char *name) const
    {
        for (const auto &[key, value] : headers) {
            if (::strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return {};
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const auto first = start.find(' ') + 1;
        return start.substr(first, start.find(' ', first) - first);
    }
    std::string path() const { return target().substr(0, target().find('?')); }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    std::string query(const std::string &name) const
    {
        const std::string all = target();
        const auto mark = all.find('?');
        if (mark == std::string::npos)
            return {};
        std::string rest = all.substr(mark + 1);
        while (!rest.empty()) {
            const auto end = std::min(rest.find('&'), rest.size());
            const std::string pair = rest.substr(0, end);
            if (pair.rfind(name + '=', 0) == 0)
                return pair.substr(name.size() + 1);
            rest.erase(0, end + 1);
        }
        return {};
    }
};

/// One connection with blocking reads and writes. Not thread-safe, except shut().
class Connection
{
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(const Address &address, int timeoutMs = 1000)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        timeval limit{ timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
        ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        const sockaddr_in at = toSockaddr(address);
        if (::connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<Connection>(fd);
    }

    int fd() const { return m_fd; }
    /// Counts the requests on it; for the server.
    int &served() { return m_served; }
    bool write(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }
    /// Reads a message; returns false at the end of the connection or at the time limit.
    bool read(Message &message, Clock::time_point until = Clock::time_point::max())
    {
        message = Message();
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until))
                return false;
        }
        std::string head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        message.start = head.substr(0, at);
        for (at += 2; at < head.size();) {
            const auto stop = head.find("\r\n", at);
            const std::string field = head.substr(at, stop - at);
            const auto colon = field.find(':');
            if (colon != std::string::npos) {
                const auto first = field.find_first_not_of(' ', colon + 1);
                message.headers.emplace_back(field.substr(0, colon),
                                             first == std::string::npos ? "" : field.substr(first));
            }
            at = stop + 2;
        }
        const std::string length = message.header("Content-Length");
        if (!length.empty()) {
            const std::size_t n = std::stoul(length);
            while (m_buffer.size() < n) {
                if (!more(until))
                    return false;
            }
            message.body = m_buffer.substr(0, n);
            m_buffer.erase(0, n);
        }
        return true;
    }
    void shut() { ::shutdown(m_fd, SHUT_RDWR); }

private:
    bool more(Clock::time_point until)
    {
        if (until != Clock::time_point::max()) {
            const auto left =
                    std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
            pollfd it{ m_fd, POLLIN, 0 };
            if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) <= 0)
                return false;
        }
        char bytes[65536];
        const ssize_t n = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    const int m_fd;
    int m_served = 0;
    std::string m_buffer;
};

inline std::string serialize(const std::string &start, const Headers &headers,
                             const std::string &body)
{
    std::string text = start + "\r\n";
    for (const auto &[key, value] : headers)
        text += key + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and runs \a serve on a thread for each.
class Server
{
public:
    using Serve = std::function<void(Connection &)>;

    bool start(const Address &address, Serve serve)
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in at = toSockaddr(address);
        if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0
            || ::listen(m_fd, 512) != 0)
            return false;
        m_serve = std::move(serve);
        m_stopping = false;
        m_acceptor = std::thread([this] { acceptAll(); });
        return true;
    }
    /// Ends all connections, as a process that is gone.
    void stop()
    {
        if (!m_acceptor.joinable())
            return;
        m_stopping = true;
        ::shutdown(m_fd, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_fd);
        std::list<Entry> entries;
        {
            const std::lock_guard lock(m_mutex);
            for (Entry &it : m_entries)
                it.connection->shut();
            entries.swap(m_entries);
        }
        for (Entry &it : entries)
            it.thread.join();
    }
    bool isStopping() const { return m_stopping; }
    ~Server() { stop(); }

private:
    struct Entry
    {
        std::shared_ptr<Connection> connection;
        std::thread thread;
        std::shared_ptr<std::atomic<bool>> done;
    };

    void acceptAll()
    {
        while (!m_stopping) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (!m_stopping)
                    sleepMs(5);
                continue;
            }
            auto connection = std::make_shared<Connection>(fd);
            auto done = std::make_shared<std::atomic<bool>>(false);
            const std::lock_guard lock(m_mutex);
            for (auto it = m_entries.begin(); it != m_entries.end();) {
                if (*it->done) {
                    it->thread.join();
                    it = m_entries.erase(it);
                } else {
                    ++it;
                }
            }
            m_entries.push_back({ connection, std::thread([this, connection, done] {
                                      m_serve(*connection);
                                      connection->shut();
                                      *done = true;
                                  }),
                                  done });
        }
    }

    int m_fd = -1;
    Serve m_serve;
    std::atomic<bool> m_stopping = true;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::list<Entry> m_entries;
};

/// The platform's store: keyed topics and one group of members.
class Store
{
public:
    bool start(const Address &address)
    {
        m_address = address;
        return m_server.start(address, [this](Connection &it) { serve(it); });
    }
    const Address &address() const { return m_address; }
    void append(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].push_back({ key, value });
    }
    /// While silent, no call gets an answer, then or later.
    void setSilent(bool silent) { m_silent = silent; }
    void setDelay(int ms) { m_delayMs = ms; }
    /// Takes the copy from which the store will return.
    void takeCopy()
    {
        const std::lock_guard lock(m_mutex);
        m_copy = m_topics;
        m_copiedMembers = m_members;
        m_copiedAt = Clock::now();
    }
    /// The store goes away: it ends all connections and refuses new ones.
    void goAway() { m_server.stop(); }
    /// The store returns from the copy, with the next era. The times of memberships pause
    /// meanwhile.
    bool returnFromCopy()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_topics = m_copy;
            m_members = m_copiedMembers;
            for (auto &[member, expiry] : m_members)
                expiry += Clock::now() - m_copiedAt;
            ++m_era;
        }
        return start(m_address);
    }
    void stop() { m_server.stop(); }

private:
    struct Item
    {
        std::string key;
        std::string value;
    };

    static std::string bigEndian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i)
            text += static_cast<char>(value >> (8 * i));
        return text;
    }
    static std::string base64(const std::string &text)
    {
        static const char digits[] =
                "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string result;
        for (std::size_t i = 0; i < text.size(); i += 3) {
            unsigned bits = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                const bool in = i + j < text.size();
                bits = bits << 8 | (in ? static_cast<unsigned char>(text[i + j]) : 0);
            }
            for (std::size_t j = 0; j < 4; ++j)
                result += i + j <= text.size() ? digits[bits >> (18 - 6 * j) & 63] : '=';
        }
        return result;
    }

    void serve(Connection &connection)
    {
        Message request;
        while (connection.read(request)) {
            sleepMs(m_delayMs);
            const std::string answer = answerTo(request);
            if (m_silent) {
                // A connection on which an answer is lost returns nothing further.
                while (connection.read(request)) {}
                return;
            }
            if (!connection.write(answer))
                return;
        }
    }
    std::string reply(int status, const std::string &body, const char *type = "application/json")
    {
        return serialize("HTTP/1.1 " + std::to_string(status) + " Status",
                         { { "Content-Type", type }, { "Store-Era", std::to_string(m_era) } },
                         body);
    }
    std::string answerTo(const Message &request)
    {
        const std::string path = request.path();
        if (path == "/log-read")
            return read(request);
        const std::lock_guard lock(m_mutex);
        expire();
        if (path == "/log-newest") {
            std::map<std::string, std::size_t> newest;
            const auto &items = m_topics[request.query("topic")];
            for (std::size_t i = 0; i < items.size(); ++i)
                newest[items[i].key] = i;
            json list = json::array();
            for (const auto &[key, i] : newest) {
                if (!items[i].value.empty())
                    list.push_back({ { "key", key },
                                     { "value", base64(items[i].value) },
                                     { "offset", i } });
            }
            return reply(
                    200,
                    json{ { "items", list }, { "more", false }, { "end", items.size() } }.dump());
        }
        if (path == "/log-join") {
            const json body = json::parse(request.body);
            const std::string ttl = body.at("ttl_time");
            const std::string member = body.at("member");
            const double ms = std::stod(ttl) * (ttl.find("ms") == std::string::npos ? 1000 : 1);
            if (m_members.count(member) == 0)
                ++m_generation;
            m_members[member] = Clock::now() + milliseconds(static_cast<int>(ms));
            return reply(200, json{ { "generation", m_generation },
                                    { "ttl_time", ttl },
                                    { "parts", json::array() } }
                                      .dump());
        }
        if (path == "/log-leave") {
            if (m_members.erase(json::parse(request.body).at("member")) > 0)
                ++m_generation;
            return reply(200, "{}");
        }
        if (path == "/log-owners") {
            json parts = json::array();
            for (const auto &[member, expiry] : m_members)
                parts.push_back({ "members-0", parts.size(), member, 0 });
            return reply(200, json{ { "parts", parts } }.dump());
        }
        return reply(404, "{}");
    }
    std::string read(const Message &request)
    {
        const std::size_t from = std::stoul("0" + request.query("from"));
        const int wait = std::atoi(request.query("wait_ms").c_str());
        const auto until = Clock::now() + milliseconds(wait);
        while (true) {
            {
                const std::lock_guard lock(m_mutex);
                const auto &items = m_topics[request.query("topic")];
                if (from > items.size())
                    return reply(410, R"({"first":0})");
                if (from < items.size() || Clock::now() >= until) {
                    std::string body = bigEndian(items.size(), 8) + bigEndian(0, 8);
                    for (std::size_t i = from; i < items.size(); ++i) {
                        const std::string content = static_cast<char>(items[i].key.size())
                                                    + items[i].key + items[i].value;
                        body += bigEndian(content.size(), 4) + content;
                    }
                    return reply(200, body, "application/octet-stream");
                }
            }
            if (m_server.isStopping())
                return {};
            sleepMs(5);
        }
    }
    void expire()
    {
        for (auto it = m_members.begin(); it != m_members.end();) {
            if (it->second <= Clock::now() && !m_silent) {
                it = m_members.erase(it);
                ++m_generation;
            } else {
                ++it;
            }
        }
    }

    Address m_address;
    std::atomic<bool> m_silent = false;
    std::atomic<int> m_delayMs = 4;
    std::mutex m_mutex;
    std::map<std::string, std::vector<Item>> m_topics;
    std::map<std::string, Clock::time_point> m_members;
    int m_generation = 1;
    std::atomic<int> m_era = 1;
    std::map<std::string, std::vector<Item>> m_copy;
    std::map<std::string, Clock::time_point> m_copiedMembers;
    Clock::time_point m_copiedAt;
    Server m_server;
};

/// What servers have run, by the id of the client attempt. Thread-safe.
class Runs
{
public:
    explicit Runs(Record &record)
        : m_record(record)
    {}
    void add(const std::string &id, const std::string &server)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[id].push_back(server);
        m_record.line("run id=%s server=%s run=%zu", id.c_str(), server.c_str(), m_runs[id].size());
    }
    std::size_t count(const std::string &id) const
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_runs.find(id);
        return it == m_runs.end() ? 0 : it->second.size();
    }
    std::size_t total() const
    {
        const std::lock_guard lock(m_mutex);
        std::size_t n = 0;
        for (const auto &[id, servers] : m_runs)
            n += servers.size();
        return n;
    }

private:
    Record &m_record;
    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<std::string>> m_runs;
};

/// A sound server of a service, one incarnation. It keeps to its slots and to Expected-Instance.
class Backend
{
public:
    /// Called with each request that is no health check, before it runs; returns true if it has
    /// handled the request itself.
    using Hook = std::function<bool(Connection &, const Message &)>;

    Backend(Runs &runs, std::string id, std::string service, std::string zone, Address address,
            int slots, int workMs)
        : m_runs(runs)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_address(std::move(address))
        , m_slots(slots)
        , m_workMs(workMs)
    {}
    /// Starts an incarnation that knows nothing of before.
    bool start()
    {
        m_born = std::chrono::duration_cast<milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
        m_running = 0;
        return m_server.start(m_address, [this](Connection &it) { serve(it); });
    }
    void stop() { m_server.stop(); }
    void setHook(Hook hook) { m_hook = std::move(hook); }
    void setAnswerBytes(std::size_t n) { m_answerText = std::string(n, 'a'); }
    void setAnswerText(const std::string &text) { m_answerText = text; }
    const std::string &id() const { return m_id; }
    const Address &address() const { return m_address; }
    std::string entry(const char *phase = "ready", int sequence = 1) const
    {
        return json{
            { "service", m_service },
            { "address", m_address.text() },
            { "zone", m_zone },
            { "version", "v1" },
            { "max_concurrency", m_slots },
            { "phase", phase },
            { "warmup_left", std::to_string(warmupLeft()) + "ms" },
            { "sequence", sequence },
            { "born", m_born.load() }
        }.dump();
    }
    std::string load() const
    {
        return std::to_string(m_running.load()) + ",0," + std::to_string(m_slots) + ",100";
    }
    Runs &runs() { return m_runs; }
    /// The server is cold from now on, and takes twice as long.
    void becomeCold(int ms) { m_coldUntil = nowMs() + ms; }
    long long warmupLeft() const { return std::max(0LL, m_coldUntil - nowMs()); }
    std::string answer(const std::string &id, const std::string &body = "done")
    {
        return serialize("HTTP/1.1 200 OK",
                         { { "Attempt-Id", id },
                           { "Response-Seal", "seal-" + id },
                           { "Backend-Load", load() } },
                         body);
    }
    std::string rejection(const std::string &id, int status = 503)
    {
        return serialize(
                "HTTP/1.1 " + std::to_string(status) + " Rejected",
                { { "Attempt-Id", id }, { "Not-Executed", "1" }, { "Backend-Load", load() } }, "");
    }

private:
    static long long nowMs()
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
    }
    void serve(Connection &connection)
    {
        Message request;
        while (connection.read(request)) {
            if (request.path() == "/healthz") {
                Headers headers{ { "Instance-Id", m_id }, { "Backend-Load", load() } };
                if (const auto left = warmupLeft(); left > 0)
                    headers.emplace_back("Warmup-Ms", std::to_string(left));
                if (!connection.write(serialize("HTTP/1.1 200 OK", headers, "")))
                    return;
                continue;
            }
            if (m_hook && m_hook(connection, request))
                continue;
            const std::string id = request.header("Attempt-Id");
            const std::string expected = request.header("Expected-Instance");
            if (!expected.empty() && expected != m_id) {
                if (!connection.write(rejection(id, 421)))
                    return;
                continue;
            }
            if (++m_running > m_slots) {
                --m_running;
                if (!connection.write(rejection(id)))
                    return;
                continue;
            }
            m_runs.add(id, m_id);
            sleepMs(warmupLeft() > 0 ? 2 * m_workMs : m_workMs);
            --m_running;
            if (!connection.write(answer(id, m_answerText)))
                return;
        }
    }

    Runs &m_runs;
    const std::string m_id;
    const std::string m_service;
    const std::string m_zone;
    const Address m_address;
    const int m_slots;
    const int m_workMs;
    std::atomic<long long> m_born = 0;
    std::atomic<int> m_running = 0;
    std::atomic<long long> m_coldUntil = 0;
    Hook m_hook;
    std::string m_answerText = "done";
    Server m_server;
};

/// One gateway process of the deploy file, target/bin/lycheebay-platformd.
class Gateway
{
public:
    struct Place
    {
        std::string name;
        std::string host;
        std::string zone;
        std::string region;
    };

    Gateway(const std::string &folder, Place place, int port, const Address &store,
            const std::string &zones)
        : m_folder(folder)
        , m_place(std::move(place))
        , m_port(port)
    {
        std::ofstream file(path(".yaml"));
        file << "self: { node_name: \"" << m_place.name << "\", role: \"gateway\", "
             << "machine_class: \"edge\", serves: [\"edge\", \"directory\"], ip: \"" << m_place.host
             << "\", zone: \"" << m_place.zone << "\", region: \"" << m_place.region
             << "\", bootstrap: false,\n  limits: { cpu_share: 0.2, cpus: 1, memory_mb: 260, "
             << "max_open_files: 4100, bandwidth_mbps: 1000.0, disk_mb: 0 } }\n"
             << "network:\n  listen: { http: \"" << m_place.host << ':' << port
             << "\", readiness: \"" << m_place.host << ':' << port + 1 << "\", directory: \""
             << m_place.host << ':' << port + 2 << "\" }\n  internal_ports: [" << port + 3 << ", "
             << port + 9 << "]\n  zones: " << zones << "\nplatform: { heartbeat: \"1500ms\", "
             << "platform: { address: \"" << store.text() << "\" } }\n"
             << "terms:\n  bounds: { contact: \"3000ms\", drain_timeout: \"2000ms\", "
             << "grace_period: \"6s\", loss_slack: \"200ms\", config_apply: \"2000ms\", "
             << "retry_budget_ratio: 0.2, retry_window: \"10s\", retry_budget_slack: 64, "
             << "ttl_max: \"5s\" }\n";
    }
    ~Gateway() { kill(SIGKILL); }

    void start()
    {
        const int log = ::open(path(".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        std::string settings = "LYCHEEBAY_BOOT=" + path(".yaml");
        std::string paths = std::string("PATH=") + std::getenv("PATH");
        char program[] = "target/bin/lycheebay-platformd";
        char *const arguments[] = { program, nullptr };
        char *const variables[] = { settings.data(), paths.data(), nullptr };
        m_pid = ::fork();
        if (m_pid == 0) {
            // It must not outlive the case, whatever ends that.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::execve(program, arguments, variables);
            ::_exit(127);
        }
        ::close(log);
    }
    void signal(int number)
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    /// Ends the process and waits for it.
    void kill(int number)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, number);
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_pid = 0;
    }
    /// Empty while the process runs; else how it ended.
    std::string ended()
    {
        int status = 0;
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return {};
        m_pid = 0;
        return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                   : "status " + std::to_string(WEXITSTATUS(status));
    }
    /// What the process has logged.
    std::string log() const
    {
        std::ifstream file(path(".log"));
        return { std::istreambuf_iterator<char>(file), {} };
    }
    Address callers() const { return { m_place.host, m_port }; }
    Address readiness() const { return { m_place.host, m_port + 1 }; }
    Address directory() const { return { m_place.host, m_port + 2 }; }
    Address metrics() const { return { m_place.host, m_port + 3 }; }
    const Place &place() const { return m_place; }

private:
    std::string path(const char *suffix) const { return m_folder + '/' + m_place.name + suffix; }

    const std::string m_folder;
    const Place m_place;
    const int m_port;
    pid_t m_pid = 0;
};

/// What a client got for one attempt. Status 0: no complete answer.
struct Answer
{
    int status = 0;
    Message message;
    bool opened = false;
};

inline std::string requestText(const std::string &method, const std::string &path,
                               const std::string &host, const std::string &id, int deadlineMs,
                               const std::string &body)
{
    return serialize(method + ' ' + path + " HTTP/1.1",
                     { { "Host", host },
                       { "Attempt-Id", id },
                       { "Deadline-Ms", std::to_string(deadlineMs) } },
                     body);
}

/// Sends one attempt on a new connection and waits for its answer.
inline Answer attempt(const Address &address, const std::string &method, const std::string &path,
                      const std::string &host, const std::string &id, int deadlineMs,
                      const std::string &body = {})
{
    Answer answer;
    const auto until = Clock::now() + milliseconds(deadlineMs);
    const auto connection = Connection::open(address);
    if (!connection)
        return answer;
    answer.opened = true;
    // An early answer may come before the whole body is sent.
    connection->write(requestText(method, path, host, id, deadlineMs, body));
    if (connection->read(answer.message, until))
        answer.status = answer.message.status();
    return answer;
}

/// GET without an attempt, for the readiness and directory interfaces.
inline Message get(const Address &address, const std::string &target)
{
    Message message;
    if (const auto connection = Connection::open(address)) {
        connection->write("GET " + target + " HTTP/1.1\r\nHost: " + address.host + "\r\n\r\n");
        connection->read(message, Clock::now() + std::chrono::seconds(1));
    }
    return message;
}

/// Clients that each send a body but for its last byte, and stay. One that the gateway answers or
/// closes comes again, at most 200 a second.
class OpenBodies
{
public:
    OpenBodies(Address address, int count, std::size_t bodyBytes, const std::string &path,
               const std::string &host, Record &record)
        : m_address(std::move(address))
        , m_head("POST " + path + " HTTP/1.1\r\nHost: " + host
                 + "\r\nDeadline-Ms: 20000\r\nContent-Length: " + std::to_string(bodyBytes)
                 + "\r\nAttempt-Id: open-")
        , m_body(bodyBytes - 1, 'x')
        , m_open(static_cast<std::size_t>(count))
        , m_record(record)
    {
        m_thread = std::thread([this] { play(); });
    }
    ~OpenBodies()
    {
        m_running = false;
        m_thread.join();
    }

private:
    void play()
    {
        constexpr int kOpenedPerTurn = 4;
        int opened = 0;
        int ended = 0;
        auto reported = Clock::now();
        while (m_running) {
            int fresh = 0;
            for (auto &it : m_open) {
                if (it) {
                    char byte = 0;
                    const ssize_t n = ::recv(it->fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
                    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
                        continue;
                    it.reset();
                    ++ended;
                }
                if (fresh++ >= kOpenedPerTurn)
                    continue;
                it = Connection::open(m_address);
                if (it && !it->write(m_head + std::to_string(opened++) + "\r\n\r\n" + m_body))
                    it.reset();
            }
            if (Clock::now() - reported > milliseconds(1000)) {
                reported = Clock::now();
                m_record.line("open bodies at %s: opened=%d ended_by_gateway=%d",
                              m_address.text().c_str(), opened, ended);
            }
            sleepMs(20);
        }
    }

    const Address m_address;
    const std::string m_head;
    const std::string m_body;
    std::vector<std::unique_ptr<Connection>> m_open;
    Record &m_record;
    std::atomic<bool> m_running = true;
    std::thread m_thread;
};

/// A temporary folder that is removed at the end.
class Folder
{
public:
    Folder()
    {
        char name[] = "/tmp/lycheebay-review-XXXXXX";
        m_path = ::mkdtemp(name);
    }
    ~Folder()
    {
        std::error_code ec;
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(m_path, ec);
    }
    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

/// A /24 of loopback addresses on which the ports from \a port on are free.
inline std::string freeSubnet(int port, int ports)
{
    for (int i = 0; i < 200; ++i) {
        const int n = (static_cast<int>(::getpid()) + i * 37) % 60000;
        const std::string subnet =
                "127." + std::to_string(20 + n / 250 % 200) + '.' + std::to_string(1 + n % 250);
        bool free = true;
        for (int host = 1; host <= 20 && free; ++host) {
            for (int it = 0; it < ports && free; ++it)
                free = isFree({ subnet + '.' + std::to_string(host), port + it });
        }
        if (free)
            return subnet;
    }
    return {};
}

inline bool isTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace stage
