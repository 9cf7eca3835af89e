#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// Blocking sockets and a small HTTP/1.1 reader and writer for the stand-ins of the review.
namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;

struct Endpoint
{
    std::string host;
    int port = 0;

    std::string toString() const { return host + ":" + std::to_string(port); }
};

/// Owns a descriptor. Thread-safe as far as close() and the system calls are.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int fd)
        : m_fd(fd)
    {}
    ~Socket() { close(); }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    Socket(Socket &&other) noexcept
        : m_fd(other.m_fd.exchange(-1))
    {}
    Socket &operator=(Socket &&other) noexcept;

    int fd() const { return m_fd; }
    bool isOpen() const { return m_fd >= 0; }
    void close();
    /// Ends the connection; its owner still has to close it.
    void shutDown() const;
    /// Returns false if the peer has gone.
    bool sendAll(const std::string &bytes) const;
    /// Waits until bytes or an end can be read; returns false after \a timeout.
    bool waitReadable(milliseconds timeout) const;

private:
    std::atomic<int> m_fd = -1;
};

/// Connects within \a timeout; the result is not open if that fails.
Socket connectTo(const Endpoint &to, milliseconds timeout);
/// Listens; the result is not open if the address is in use.
Socket listenOn(const Endpoint &at);

struct Message
{
    /// Request line or status line.
    std::string first;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const;
    int status() const;
    std::string method() const;
    std::string target() const;
    std::string path() const;
    std::string query(const std::string &name) const;
};

/// Reads one message after another from a connection.
class MessageReader
{
public:
    explicit MessageReader(const Socket &socket)
        : m_socket(socket)
    {}

    /// Returns the next message, or nullopt if the connection ended or \a timeout passed before it
    /// was complete. A response without a length ends with its connection.
    std::optional<Message> read(milliseconds timeout);
    /// True if the last read() failed because the connection ended.
    bool hasEnded() const { return m_ended; }
    /// True if bytes have come since the last complete message.
    bool hasBytes() const { return !m_bytes.empty(); }

private:
    bool fill(TimePoint until);

    const Socket &m_socket;
    std::string m_bytes;
    bool m_ended = false;
};

/// Serves connections of one address with one thread each, until it is destroyed.
class Server
{
public:
    using Handler = void (*)(void *context, Socket &socket);

    Server() = default;
    ~Server() { stop(); }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// \a serve runs on a thread of its own for each connection. Returns false if the address is
    /// in use.
    template <typename F>
    bool start(const Endpoint &at, F serve)
    {
        m_listener = listenOn(at);
        if (!m_listener.isOpen())
            return false;
        m_stopped = false;
        m_acceptor = std::thread([this, serve] {
            while (!m_stopped) {
                if (!m_listener.waitReadable(milliseconds(100)))
                    continue;
                const int fd = acceptOn(m_listener);
                if (fd < 0)
                    continue;
                std::thread([serve, fd] {
                    Socket socket(fd);
                    serve(socket);
                }).detach();
            }
        });
        return true;
    }
    /// Stops listening; open connections go on. start() may follow.
    void stop();

private:
    static int acceptOn(const Socket &listener);

    Socket m_listener;
    std::thread m_acceptor;
    std::atomic<bool> m_stopped = false;
};

} // namespace review
