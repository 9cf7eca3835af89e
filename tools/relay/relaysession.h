#pragma once

#include "tools/relay/relaygroup.h"

#include <asio.hpp>

#include <deque>
#include <string>

namespace lycheebay::relay {

/// One relayed connection. Used only on the thread that runs the io_context.
class RelaySession : public std::enable_shared_from_this<RelaySession>
{
public:
    RelaySession(asio::ip::tcp::socket client, RelayGroup &group);

    void start(const asio::ip::tcp::endpoint &target);
    void close();
    /// Continues after the group's cut has ended.
    void resume();

private:
    struct Chunk
    {
        RelayGroup::Time due;
        /// Empty at the end of the stream.
        std::string data;
    };
    struct Pump
    {
        Pump(asio::ip::tcp::socket &source, asio::ip::tcp::socket &sink)
            : from(source)
            , to(sink)
            , timer(source.get_executor())
        {}

        asio::ip::tcp::socket &from;
        asio::ip::tcp::socket &to;
        asio::steady_timer timer;
        std::array<char, 16384> buffer{};
        std::deque<Chunk> queue;
        std::size_t queuedBytes = 0;
        bool isReading = false;
        bool isWriting = false;
        bool isAtEnd = false;
    };

    void read(Direction direction);
    void enqueue(Direction direction, std::string data);
    void write(Direction direction);
    void finishChunk(Direction direction);

    RelayGroup &m_group;
    asio::ip::tcp::socket m_client;
    asio::ip::tcp::socket m_target;
    std::array<Pump, DirectionCount> m_pumps;
    bool m_isOpen = true;
};

} // namespace lycheebay::relay
