#pragma once

#include "estate/address.h"
#include "http/tests/loopfixture.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <memory>
#include <string>

namespace lycheebay {

/// A faulty target that rejects its first request and writes this rejection once more before its
/// answer to the next request on the same connection. Not thread-safe: use it on the loop of the
/// fixture.
class RepeatingTarget
{
public:
    /// Probes, which begin with "GET /health", are answered with \a load.
    RepeatingTarget(LoopFixture &loop, std::string load, std::string rejection, std::string answer)
        : m_state(std::make_shared<State>(loop, std::move(load), std::move(rejection),
                                          std::move(answer)))
    {
        accept(m_state);
    }
    ~RepeatingTarget()
    {
        asio::error_code ec;
        m_state->acceptor.close(ec);
    }
    RepeatingTarget(const RepeatingTarget &) = delete;
    RepeatingTarget &operator=(const RepeatingTarget &) = delete;

    Address address() const { return { "127.0.0.1", m_state->acceptor.local_endpoint().port() }; }
    int runs() const { return m_state->runs; }

private:
    struct State
    {
        State(LoopFixture &loop, std::string load, std::string rejection, std::string answer)
            : acceptor(loop.context,
                       asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
            , load(std::move(load))
            , rejection(std::move(rejection))
            , answer(std::move(answer))
        {}

        asio::ip::tcp::acceptor acceptor;
        const std::string load;
        const std::string rejection;
        const std::string answer;
        bool hasRejected = false;
        int runs = 0;
    };
    using StatePtr = std::shared_ptr<State>;

    struct Connection
    {
        explicit Connection(asio::ip::tcp::socket it)
            : socket(std::move(it))
        {}
        asio::ip::tcp::socket socket;
        std::array<char, 4096> input{};
        bool hasRejected = false;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    static void accept(const StatePtr &state)
    {
        state->acceptor.async_accept([state](asio::error_code ec, asio::ip::tcp::socket socket) {
            if (ec)
                return;
            read(state, std::make_shared<Connection>(std::move(socket)));
            accept(state);
        });
    }

    static void read(const StatePtr &state, const ConnectionPtr &connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->input), [state, connection](
                                                                                    asio::error_code
                                                                                            ec,
                                                                                    std::size_t n) {
            if (ec)
                return;
            asio::error_code ignored;
            const std::string reply = replyTo({ connection->input.data(), n }, *state, *connection);
            asio::write(connection->socket, asio::buffer(reply), ignored);
            read(state, connection);
        });
    }

    static std::string replyTo(std::string_view request, State &state, Connection &connection)
    {
        if (request.starts_with("GET /health"))
            return state.load;
        if (!state.hasRejected) {
            state.hasRejected = true;
            connection.hasRejected = true;
            return state.rejection;
        }
        ++state.runs;
        return connection.hasRejected ? state.rejection + state.answer : state.answer;
    }

    StatePtr m_state;
};

} // namespace lycheebay
