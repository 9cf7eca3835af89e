#include "http/internal/deadlinestream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace lycheebay {

namespace {

constexpr std::size_t kReadSize = 16u << 10;
/// Limits each poll(), so that a Cancellation without a descriptor is noticed as well.
constexpr std::chrono::milliseconds kMaxPoll{ 100 };

bool isTransient(int error)
{
    return error == EINTR || error == EAGAIN || error == EWOULDBLOCK;
}

timespec toTimespec(Duration left)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(left);
    return { seconds.count(), (left - seconds).count() };
}

} // namespace

StreamState waitForSocket(int socket, short events, TimePoint deadline,
                          const Cancellation *cancellation)
{
    const int cancelDescriptor = cancellation ? cancellation->descriptor() : -1;
    std::array<pollfd, 2> polled{ pollfd{ socket, events, 0 },
                                  pollfd{ cancelDescriptor, POLLIN, 0 } };
    for (;;) {
        if (cancellation && cancellation->isCancelled())
            return StreamState::Cancelled;
        const Duration left = deadline - std::chrono::steady_clock::now();
        if (left <= Duration::zero())
            return StreamState::TimedOut;
        const timespec timeout = toTimespec(std::min<Duration>(left, kMaxPoll));
        const int ready = ppoll(polled.data(), polled.size(), &timeout, nullptr);
        if (ready < 0 && errno != EINTR)
            return StreamState::Failed;
        if (ready > 0 && polled[0].revents != 0)
            return StreamState::Open;
    }
}

DeadlineStream::DeadlineStream(int socket)
    : m_socket(socket)
{}

bool DeadlineStream::fail(StreamState state)
{
    m_state = state;
    return false;
}

bool DeadlineStream::wait(short events)
{
    const StreamState state = waitForSocket(m_socket, events, m_deadline, m_cancellation);
    return state == StreamState::Open || fail(state);
}

bool DeadlineStream::fill()
{
    if (m_state != StreamState::Open)
        return false;
    if (m_remainingReadLimit == 0)
        return fail(StreamState::TooLarge);
    m_input.erase(0, m_inputPosition);
    m_inputPosition = 0;
    std::array<char, kReadSize> chunk;
    for (;;) {
        const ssize_t n = recv(m_socket, chunk.data(), std::min(chunk.size(), m_remainingReadLimit),
                               MSG_DONTWAIT);
        if (n > 0) {
            m_remainingReadLimit -= static_cast<std::size_t>(n);
            m_input.append(chunk.data(), static_cast<std::size_t>(n));
            m_hasReceived = true;
            return true;
        }
        if (n == 0)
            return fail(StreamState::EndOfStream);
        if (!isTransient(errno))
            return fail(StreamState::Failed);
        if (!wait(POLLIN))
            return false;
    }
}

std::string DeadlineStream::take(std::size_t bytes)
{
    if (m_inputPosition == 0 && bytes == m_input.size())
        return std::exchange(m_input, {});
    std::string text(buffered().substr(0, bytes));
    consume(bytes);
    return text;
}

void DeadlineStream::consume(std::size_t bytes)
{
    m_inputPosition += bytes;
    if (m_inputPosition < m_input.size())
        return;
    m_input.clear();
    m_inputPosition = 0;
}

bool DeadlineStream::flush()
{
    std::size_t sent = 0;
    while (sent < m_output.size()) {
        if (m_state != StreamState::Open)
            return false;
        m_hasSent = true;
        const ssize_t n = send(m_socket, m_output.data() + sent, m_output.size() - sent,
                               MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n > 0)
            sent += static_cast<std::size_t>(n);
        else if (!isTransient(errno))
            return fail(StreamState::Failed);
        else if (!wait(POLLOUT))
            return false;
    }
    m_output.clear();
    return true;
}

} // namespace lycheebay
