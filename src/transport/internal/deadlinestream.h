#pragma once

#include "base/iclock.h"
#include "transport/cancellation.h"

#include <httplib.h>

#include <string>
#include <string_view>

namespace lycheebay {

enum class StreamState { Open, Ended, Failed, TimedOut, Cancelled, TooLarge };

/// A socket with a deadline over all calls together, in place of httplib's timeout per call. It
/// keeps the bytes that the peer sent beyond what was read, so that the owner can see them.
/// Not thread-safe.
class DeadlineStream final : public httplib::Stream
{
public:
    /// The caller keeps ownership of \a socket.
    explicit DeadlineStream(int socket);

    void setDeadline(TimePoint deadline) { m_deadline = deadline; }
    /// Null ends the watch.
    void setCancellation(const Cancellation *cancellation) { m_cancellation = cancellation; }
    /// Bounds the bytes read from now on.
    void setReadLimit(std::size_t bytes) { m_readable = bytes; }

    /// Reads at least one more byte into the buffer. On false, state() tells why.
    bool fill();
    std::string_view buffered() const { return std::string_view(m_in).substr(m_position); }
    void consume(std::size_t bytes);
    /// Sends what was written.
    bool flush();

    StreamState state() const { return m_state; }
    /// Tells whether flush() was called with something to send, so that a byte may have left.
    bool hasSent() const { return m_hasSent; }
    bool hasReceived() const { return m_hasReceived; }

    bool is_readable() const override { return m_state == StreamState::Open; }
    bool is_writable() const override { return m_state == StreamState::Open; }
    ssize_t read(char *ptr, std::size_t size) override;
    ssize_t write(const char *ptr, std::size_t size) override;
    using Stream::write;
    void get_remote_ip_and_port(std::string &, int &) const override {}
    void get_local_ip_and_port(std::string &, int &) const override {}
    socket_t socket() const override { return m_socket; }

private:
    bool wait(short events);
    bool fail(StreamState state);

    const int m_socket;
    TimePoint m_deadline;
    const Cancellation *m_cancellation = nullptr;
    std::size_t m_readable = SIZE_MAX;
    std::string m_in;
    std::size_t m_position = 0;
    std::string m_out;
    StreamState m_state = StreamState::Open;
    bool m_hasSent = false;
    bool m_hasReceived = false;
};

/// Waits until \a socket has one of \a events, or fails.
StreamState waitForSocket(int socket, short events, TimePoint deadline,
                          const Cancellation *cancellation);

} // namespace lycheebay
