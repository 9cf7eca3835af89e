#pragma once

#include "base/cancellation.h"
#include "base/iclock.h"

#include <string>
#include <string_view>

namespace lycheebay {

enum class StreamState {
    Open,
    EndOfStream, ///< the peer closed its sending half
    Failed,      ///< a system call failed
    TimedOut,    ///< the deadline passed
    Cancelled,   ///< the Cancellation was triggered
    TooLarge     ///< the read limit was reached
};

/// Buffered socket stream with one deadline for all calls together. Received bytes that have not
/// been read stay visible in buffered(), so that the owner can detect surplus input. Once state()
/// is not Open, nothing more is sent or received. Not thread-safe.
class DeadlineStream final
{
public:
    /// Does not take ownership of \a socket.
    explicit DeadlineStream(int socket);

    void setDeadline(TimePoint deadline) { m_deadline = deadline; }
    /// Null means that calls cannot be cancelled.
    void setCancellation(const Cancellation *cancellation) { m_cancellation = cancellation; }
    /// Limits the number of bytes received from now on.
    void setReadLimit(std::size_t bytes) { m_remainingReadLimit = bytes; }

    /// Receives at least one more byte into the buffer. Returns false if state() is no longer Open.
    bool fill();
    std::string_view buffered() const { return std::string_view(m_input).substr(m_inputPosition); }
    /// Removes \a bytes from the front of buffered() and returns them; a message that is all of it
    /// is not copied.
    std::string take(std::size_t bytes);
    /// Removes bytes from the front of buffered().
    void consume(std::size_t bytes);
    /// Keeps \a bytes until flush(), so that head and body are sent together.
    void write(std::string_view bytes) { m_output.append(bytes); }
    /// Sends the data passed to write().
    bool flush();

    StreamState state() const { return m_state; }
    /// Returns whether flush() tried to send data, so that bytes may have reached the peer.
    bool hasSent() const { return m_hasSent; }
    bool hasReceived() const { return m_hasReceived; }

private:
    bool wait(short events);
    bool fail(StreamState state);

    const int m_socket;
    TimePoint m_deadline;
    const Cancellation *m_cancellation = nullptr;
    std::size_t m_remainingReadLimit = SIZE_MAX;
    std::string m_input;
    std::size_t m_inputPosition = 0;
    std::string m_output;
    StreamState m_state = StreamState::Open;
    bool m_hasSent = false;
    bool m_hasReceived = false;
};

/// Waits until \a socket has one of the poll() \a events or an error. Returns Open then, otherwise
/// why the wait ended.
StreamState waitForSocket(int socket, short events, TimePoint deadline,
                          const Cancellation *cancellation);

} // namespace lycheebay
