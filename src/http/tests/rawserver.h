#pragma once

#include "estate/address.h"
#include "http/tests/loopfixture.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lycheebay {

/// Accepts connections and writes whatever a test wants in reply to the bytes that arrive. Not
/// thread-safe: use it on the loop of the fixture.
class RawServer
{
public:
    /// Returns the reply to \a bytes; \a connection numbers the connections from 0.
    using Reply = std::function<std::string(std::string_view bytes, int connection)>;

    RawServer(LoopFixture &loop, Reply reply)
        : m_state(std::make_shared<State>(loop, std::move(reply)))
    {
        accept(m_state);
    }
    ~RawServer()
    {
        m_state->reply = nullptr;
        asio::error_code ec;
        m_state->acceptor.close(ec);
    }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    /// Closes all connections after what they have sent, and accepts no more. Precondition: not
    /// called by the reply function.
    void end()
    {
        asio::error_code ec;
        m_state->acceptor.close(ec);
        for (const std::weak_ptr<Connection> &it : m_state->open) {
            if (const ConnectionPtr connection = it.lock())
                connection->socket.close(ec);
        }
    }

    Address address() const { return { "127.0.0.1", m_state->acceptor.local_endpoint().port() }; }

private:
    struct Connection;

    struct State
    {
        State(LoopFixture &loop, Reply it)
            : acceptor(loop.context,
                       asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
            , reply(std::move(it))
        {}

        asio::ip::tcp::acceptor acceptor;
        Reply reply;
        int connections = 0;
        std::vector<std::weak_ptr<Connection>> open;
    };
    using StatePtr = std::shared_ptr<State>;

    struct Connection
    {
        Connection(asio::ip::tcp::socket it, int n)
            : socket(std::move(it))
            , number(n)
        {}
        asio::ip::tcp::socket socket;
        std::array<char, 4096> input{};
        const int number;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    static void accept(const StatePtr &state)
    {
        state->acceptor.async_accept([state](asio::error_code ec, asio::ip::tcp::socket socket) {
            if (ec || !state->reply)
                return;
            const auto connection =
                    std::make_shared<Connection>(std::move(socket), state->connections++);
            state->open.push_back(connection);
            read(state, connection);
            accept(state);
        });
    }

    static void read(const StatePtr &state, const ConnectionPtr &connection)
    {
        connection->socket.async_read_some(
                asio::buffer(connection->input),
                [state, connection](asio::error_code ec, std::size_t n) {
                    if (ec || !state->reply)
                        return;
                    const std::string reply =
                            state->reply({ connection->input.data(), n }, connection->number);
                    asio::write(connection->socket, asio::buffer(reply), ec);
                    read(state, connection);
                });
    }

    StatePtr m_state;
};

} // namespace lycheebay
