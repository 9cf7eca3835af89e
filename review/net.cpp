#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>

namespace review {

namespace {

sockaddr_in toSocketAddress(const Endpoint &it)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(it.port));
    ::inet_pton(AF_INET, it.host.c_str(), &address.sin_addr);
    return address;
}

void setNoDelay(int fd)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int millisecondsUntil(TimePoint until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(left, 0));
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return text;
}

Message parseHead(const std::string &head)
{
    Message message;
    std::size_t at = head.find("\r\n");
    message.first = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t start = at + 2;
        at = head.find("\r\n", start);
        const std::string line = head.substr(start, at - start);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[lowerCase(line.substr(0, colon))] =
                value == std::string::npos ? std::string() : line.substr(value);
    }
    return message;
}

} // namespace

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        close();
        m_fd = other.m_fd.exchange(-1);
    }
    return *this;
}

void Socket::close()
{
    const int fd = m_fd.exchange(-1);
    if (fd >= 0)
        ::close(fd);
}

void Socket::shutDown() const
{
    ::shutdown(m_fd, SHUT_RDWR);
}

bool Socket::sendAll(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool Socket::waitReadable(milliseconds timeout) const
{
    pollfd it{ m_fd, POLLIN, 0 };
    return ::poll(&it, 1, static_cast<int>(timeout.count())) > 0;
}

Socket connectTo(const Endpoint &to, milliseconds timeout)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in address = toSocketAddress(to);
    const int result =
            ::connect(socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (result < 0 && errno != EINPROGRESS)
        return {};
    pollfd it{ socket.fd(), POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&it, 1, static_cast<int>(timeout.count())) <= 0
        || ::getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size) < 0 || error != 0)
        return {};
    ::fcntl(socket.fd(), F_SETFL, ::fcntl(socket.fd(), F_GETFL) & ~O_NONBLOCK);
    setNoDelay(socket.fd());
    return socket;
}

Socket listenOn(const Endpoint &at)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = toSocketAddress(at);
    constexpr int kBacklog = 512;
    if (::bind(socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof address) < 0
        || ::listen(socket.fd(), kBacklog) < 0)
        return {};
    return socket;
}

std::string Message::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

int Message::status() const
{
    const std::size_t space = first.find(' ');
    return space == std::string::npos ? 0 : std::atoi(first.c_str() + space);
}

std::string Message::method() const
{
    return first.substr(0, first.find(' '));
}

std::string Message::target() const
{
    const std::size_t start = first.find(' ');
    if (start == std::string::npos)
        return {};
    return first.substr(start + 1, first.find(' ', start + 1) - start - 1);
}

std::string Message::path() const
{
    const std::string it = target();
    return it.substr(0, it.find('?'));
}

std::string Message::query(const std::string &name) const
{
    const std::string it = target();
    std::size_t at = it.find('?');
    while (at != std::string::npos) {
        const std::size_t end = it.find('&', at + 1);
        const std::string pair = it.substr(at + 1, end - at - 1);
        if (pair.starts_with(name + "="))
            return pair.substr(name.size() + 1);
        at = end;
    }
    return {};
}

bool MessageReader::fill(TimePoint until)
{
    pollfd it{ m_socket.fd(), POLLIN, 0 };
    if (it.fd < 0 || ::poll(&it, 1, millisecondsUntil(until)) <= 0) {
        m_ended = it.fd < 0;
        return false;
    }
    char buffer[65536];
    const ssize_t n = ::recv(m_socket.fd(), buffer, sizeof buffer, 0);
    if (n <= 0) {
        m_ended = true;
        return false;
    }
    m_bytes.append(buffer, static_cast<std::size_t>(n));
    return true;
}

std::optional<Message> MessageReader::read(milliseconds timeout)
{
    const TimePoint until = Clock::now() + timeout;
    std::size_t end = m_bytes.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!fill(until))
            return std::nullopt;
        end = m_bytes.find("\r\n\r\n");
    }
    Message message = parseHead(m_bytes.substr(0, end));
    const std::size_t start = end + 4;
    const std::string length = message.header("content-length");
    const std::size_t size = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    while (m_bytes.size() < start + size) {
        if (!fill(until))
            return std::nullopt;
    }
    message.body = m_bytes.substr(start, size);
    m_bytes.erase(0, start + size);
    return message;
}

int Server::acceptOn(const Socket &listener)
{
    const int fd = ::accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0)
        setNoDelay(fd);
    return fd;
}

void Server::stop()
{
    m_stopped = true;
    m_listener.close();
    if (m_acceptor.joinable())
        m_acceptor.join();
}

} // namespace review
