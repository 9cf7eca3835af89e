#pragma once

#include "estate/address.h"
#include "http/tests/loopfixture.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <memory>
#include <string>

namespace lycheebay {

/// Accepts connections, answers the first bytes of each at once, and resets the connection after a
/// pause without reading any further. Not thread-safe: use it on the loop of the fixture.
class ResettingServer
{
public:
    ResettingServer(LoopFixture &loop, std::string answer, Duration pause)
        : m_state(std::make_shared<State>(loop, std::move(answer), pause))
    {
        accept(m_state);
    }
    ~ResettingServer()
    {
        asio::error_code ec;
        m_state->acceptor.close(ec);
    }
    ResettingServer(const ResettingServer &) = delete;
    ResettingServer &operator=(const ResettingServer &) = delete;

    /// Sends \a response to requests that begin with \a start, and keeps their connections.
    /// Precondition: no peer has connected.
    void answer(std::string start, std::string response)
    {
        m_state->keptStart = std::move(start);
        m_state->keptAnswer = std::move(response);
    }

    Address address() const { return { "127.0.0.1", m_state->acceptor.local_endpoint().port() }; }

private:
    struct State
    {
        State(LoopFixture &loop, std::string it, Duration wait)
            : acceptor(loop.context,
                       asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
            , timers(loop.timers)
            , answer(std::move(it))
            , pause(wait)
        {}

        asio::ip::tcp::acceptor acceptor;
        ITimerService &timers;
        const std::string answer;
        const Duration pause;
        std::string keptStart;
        std::string keptAnswer;
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

    static void accept(const StatePtr &state)
    {
        state->acceptor.async_accept([state](asio::error_code ec, asio::ip::tcp::socket socket) {
            if (ec)
                return;
            read(state, std::make_shared<Connection>(std::move(socket)));
            accept(state);
        });
    }

    static void read(const StatePtr &state, const std::shared_ptr<Connection> &connection)
    {
        connection->socket.async_read_some(
                asio::buffer(connection->input),
                [state, connection](asio::error_code ec, std::size_t n) {
                    if (ec)
                        return;
                    const std::string_view request(connection->input.data(), n);
                    if (state->keptAnswer.empty() || !request.starts_with(state->keptStart)) {
                        answerAndReset(state, connection);
                        return;
                    }
                    asio::write(connection->socket, asio::buffer(state->keptAnswer), ec);
                    read(state, connection);
                });
    }

    static void answerAndReset(const StatePtr &state, const std::shared_ptr<Connection> &connection)
    {
        asio::error_code ec;
        asio::write(connection->socket, asio::buffer(state->answer), ec);
        connection->timer = state->timers.after(state->pause, [connection] {
            asio::error_code ignored;
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->socket.close(ignored);
        });
    }

    StatePtr m_state;
};

} // namespace lycheebay
