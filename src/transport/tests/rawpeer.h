#pragma once

#include "estate/address.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lycheebay {

/// Polls \a condition until it is true or ten seconds have passed; returns whether it became true.
bool eventually(const std::function<bool()> &condition);

/// Server on a loopback port that replies to each request with the bytes that its script returns,
/// valid HTTP or not. An empty reply closes the connection; the reply "wait" sends nothing and
/// keeps it open.
class RawServer
{
public:
    using Script = std::function<std::string(std::size_t index, const std::string &request)>;

    explicit RawServer(Script script);
    /// Sends \a replies in order, and empty ones after the last.
    explicit RawServer(std::vector<std::string> replies);
    ~RawServer();

    const Address &address() const { return m_address; }
    int connections() const { return m_connections; }
    int requests() const { return m_requests; }
    std::string lastRequest() const;
    /// Sends bytes without a request on the newest connection.
    void sendUnsolicited(const std::string &bytes);

private:
    void run();
    bool serve(int socket);

    const Script m_script;
    Address m_address;
    int m_listener = -1;
    std::atomic<bool> m_stopping{ false };
    std::atomic<int> m_connections{ 0 };
    std::atomic<int> m_requests{ 0 };
    mutable std::mutex m_mutex;
    std::vector<int> m_sockets;
    std::string m_lastRequest;
    std::thread m_thread;
};

/// Client that sends arbitrary bytes to a loopback port, valid HTTP or not.
class RawClient
{
public:
    explicit RawClient(std::uint16_t port);
    ~RawClient();

    void send(const std::string &bytes) const;
    /// Reads until the peer closes the connection, or sends nothing for ten seconds.
    std::string readAll() const;
    /// Reads until \a text has been received. Returns everything read, or an empty string if the
    /// connection ends or ten seconds pass without input.
    std::string readUntil(const std::string &text) const;
    void close();

private:
    int m_socket;
};

} // namespace lycheebay
