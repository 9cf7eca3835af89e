#pragma once

#include "estate/address.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lycheebay {

/// Evaluates \a condition until it is true or ten seconds have passed.
bool eventually(const std::function<bool()> &condition);

/// A server that answers each request head on its port with whatever bytes its script gives. Empty
/// bytes close the connection without an answer, "wait" leaves the request without one.
class RawServer
{
public:
    using Script = std::function<std::string(std::size_t index, const std::string &request)>;

    explicit RawServer(Script script);
    /// Gives the replies in turn, and empty ones after the last.
    explicit RawServer(std::vector<std::string> replies);
    ~RawServer();

    const Address &address() const { return m_address; }
    int connections() const { return m_connections; }
    int requests() const { return m_requests; }
    std::string lastRequest() const;
    /// Sends bytes that no request asked for on the newest connection.
    void sendUnasked(const std::string &bytes);

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

/// A client that sends whatever bytes the test wants.
class RawClient
{
public:
    explicit RawClient(std::uint16_t port);
    ~RawClient();

    void send(const std::string &bytes) const;
    /// Reads until the peer closes, or for ten seconds.
    std::string readAll() const;
    /// Reads until \a text has come; empty when it does not come.
    std::string readUntil(const std::string &text) const;
    void close();

private:
    int m_socket;
};

} // namespace lycheebay
