#include "transport/tests/rawpeer.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>

namespace lycheebay {

namespace {

constexpr std::chrono::seconds kTimeout{ 10 };

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string receive(int socket)
{
    std::array<char, 65536> buf;
    const ssize_t n = recv(socket, buf.data(), buf.size(), 0);
    return n > 0 ? std::string(buf.data(), static_cast<std::size_t>(n)) : std::string();
}

} // namespace

bool eventually(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + kTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::yield();
    }
    return true;
}

RawServer::RawServer(std::vector<std::string> replies)
    : RawServer([replies = std::move(replies)](std::size_t index, const std::string &) {
        return index < replies.size() ? replies[index] : std::string();
    })
{}

RawServer::RawServer(Script script)
    : m_script(std::move(script))
    , m_listener(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    bind(m_listener, reinterpret_cast<sockaddr *>(&address), size);
    listen(m_listener, 64);
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_address = { "127.0.0.1", ntohs(address.sin_port) };
    m_thread = std::thread([this] { run(); });
}

RawServer::~RawServer()
{
    m_stopping = true;
    m_thread.join();
    for (const int socket : m_sockets)
        close(socket);
    close(m_listener);
}

std::string RawServer::lastRequest() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastRequest;
}

void RawServer::sendUnsolicited(const std::string &bytes)
{
    const std::lock_guard lock(m_mutex);
    ::send(m_sockets.back(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void RawServer::run()
{
    while (!m_stopping) {
        std::vector<pollfd> polled{ { m_listener, POLLIN, 0 } };
        for (const int socket : m_sockets)
            polled.push_back({ socket, POLLIN, 0 });
        poll(polled.data(), polled.size(), 10);
        const std::lock_guard lock(m_mutex);
        for (std::size_t i = 1; i < polled.size(); ++i) {
            if (polled[i].revents == 0 || serve(polled[i].fd))
                continue;
            close(polled[i].fd);
            std::erase(m_sockets, polled[i].fd);
        }
        if (polled[0].revents != 0) {
            m_sockets.push_back(accept(m_listener, nullptr, nullptr));
            ++m_connections;
        }
    }
}

bool RawServer::serve(int socket)
{
    const std::string bytes = receive(socket);
    if (bytes.empty())
        return false;
    if (bytes.find("\r\n\r\n") == std::string::npos)
        return true;
    m_lastRequest = bytes;
    const auto index = static_cast<std::size_t>(m_requests++);
    const std::string reply = m_script(index, bytes);
    if (reply == "wait")
        return true;
    ::send(socket, reply.data(), reply.size(), MSG_NOSIGNAL);
    return !reply.empty();
}

RawClient::RawClient(std::uint16_t port)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
{
    const sockaddr_in address = loopback(port);
    connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    const timeval timeout{ kTimeout.count(), 0 };
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

RawClient::~RawClient()
{
    close();
}

void RawClient::send(const std::string &bytes) const
{
    ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

std::string RawClient::readAll() const
{
    std::string all;
    for (std::string part = receive(m_socket); !part.empty(); part = receive(m_socket))
        all += part;
    return all;
}

std::string RawClient::readUntil(const std::string &text) const
{
    std::string all;
    while (all.find(text) == std::string::npos) {
        const std::string part = receive(m_socket);
        if (part.empty())
            return {};
        all += part;
    }
    return all;
}

void RawClient::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

} // namespace lycheebay
