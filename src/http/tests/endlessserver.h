#pragma once

#include "http/tests/loopfixture.h"

#include "estate/address.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace lycheebay {

/// Accepts connections and, after the first bytes of a request, sends a prefix and then one text
/// again and again until the peer closes. Not thread-safe: use it on the loop of the fixture.
class EndlessServer
{
public:
    /// With an empty \a repeated only \a start is sent. A \a pause other than zero is made before
    /// each repetition; otherwise as much is sent as the peer takes.
    EndlessServer(LoopFixture &loop, std::string start, const std::string &repeated,
                  Duration pause = Duration::zero())
        : m_state(std::make_shared<State>(loop, std::move(start), repeated, pause))
    {
        accept(m_state);
    }
    ~EndlessServer() { m_state->stop(); }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    /// Sends \a response to requests that begin with \a start. Precondition: no peer has connected.
    void answer(std::string start, std::string response)
    {
        m_state->answeredStart = std::move(start);
        m_state->answer = std::move(response);
    }

    /// Resets a connection this long after \a start was sent on it, without reading any further.
    /// Precondition: no text is repeated, and no peer has connected.
    void resetAfter(Duration pause) { m_state->resetPause = pause; }

    Address address() const { return { "127.0.0.1", m_state->acceptor.local_endpoint().port() }; }
    std::size_t sentBytes() const { return m_state->sentBytes; }
    /// True once a peer has closed a connection on which bytes were sent.
    bool isClosedByPeer() const { return m_state->closedByPeer; }

private:
    // Bytes that are written at a time without a pause.
    static constexpr std::size_t kBurstBytes = 64UL << 10U;

    struct State
    {
        State(LoopFixture &loop, std::string first, const std::string &repeated, Duration wait)
            : acceptor(loop.context,
                       asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
            , timers(loop.timers)
            , start(std::move(first))
            , pause(wait)
        {
            burst = repeated;
            while (pause == Duration::zero() && !repeated.empty() && burst.size() < kBurstBytes)
                burst += repeated;
        }
        void stop()
        {
            stopped = true;
            asio::error_code ec;
            acceptor.close(ec);
        }

        asio::ip::tcp::acceptor acceptor;
        ITimerService &timers;
        const std::string start;
        const Duration pause;
        std::string burst;
        std::string answeredStart;
        std::string answer;
        std::optional<Duration> resetPause;
        std::size_t sentBytes = 0;
        bool closedByPeer = false;
        bool stopped = false;
    };
    using StatePtr = std::shared_ptr<State>;

    struct Connection
    {
        explicit Connection(asio::ip::tcp::socket it)
            : socket(std::move(it))
        {}
        asio::ip::tcp::socket socket;
        std::array<char, 4096> input{};
        TimerSubscription timer;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    static void accept(const StatePtr &state)
    {
        state->acceptor.async_accept([state](asio::error_code ec, asio::ip::tcp::socket socket) {
            if (ec || state->stopped)
                return;
            read(state, std::make_shared<Connection>(std::move(socket)));
            accept(state);
        });
    }

    static void read(const StatePtr &state, const ConnectionPtr &connection)
    {
        connection->socket.async_read_some(
                asio::buffer(connection->input),
                [state, connection](asio::error_code ec, std::size_t n) {
                    if (ec || state->stopped)
                        return;
                    const std::string_view request(connection->input.data(), n);
                    if (state->answer.empty() || !request.starts_with(state->answeredStart)) {
                        write(state, connection, state->start);
                        return;
                    }
                    asio::error_code ignored;
                    asio::write(connection->socket, asio::buffer(state->answer), ignored);
                    read(state, connection);
                });
    }

    static void write(const StatePtr &state, const ConnectionPtr &connection,
                      const std::string &text)
    {
        asio::async_write(connection->socket, asio::buffer(text),
                          [state, connection](asio::error_code ec, std::size_t n) {
                              state->sentBytes += n;
                              state->closedByPeer = state->closedByPeer || ec;
                              if (!ec && !state->stopped)
                                  writeNext(state, connection);
                          });
    }

    static void writeNext(const StatePtr &state, const ConnectionPtr &connection)
    {
        if (state->resetPause) {
            connection->timer = state->timers.after(*state->resetPause, [connection] {
                asio::error_code ignored;
                connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
                connection->socket.close(ignored);
            });
            return;
        }
        if (state->burst.empty()) {
            // Keeps the connection open until the peer closes it.
            connection->socket.async_read_some(asio::buffer(connection->input),
                                               [connection](asio::error_code, std::size_t) {});
            return;
        }
        if (state->pause == Duration::zero()) {
            write(state, connection, state->burst);
            return;
        }
        connection->timer = state->timers.after(state->pause, [state, connection] {
            if (!state->stopped)
                write(state, connection, state->burst);
        });
    }

    StatePtr m_state;
};

} // namespace lycheebay
