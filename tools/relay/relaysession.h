#pragma once

#include <asio.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>

namespace lycheebay::relay {

class RelaySession;

enum class Cut {
    None,
    /// Connections are closed, and new ones are closed at once.
    Drop,
    /// Bytes are held back until the cut ends.
    Stall,
    /// As Stall, but only what clients send.
    StallForward
};

enum Direction { Forward, Backward, DirectionCount };

/// Links that share a delay, a cut and a bandwidth, such as all traffic between two regions.
struct RelayGroup
{
    using Time = std::chrono::steady_clock::time_point;

    /// One-way delay in each direction.
    double delayMs = 0;
    /// Bandwidth in each direction; 0 is unlimited.
    double bytesPerSecond = 0;
    Cut cut = Cut::None;
    bool holds(Direction direction) const
    {
        return cut == Cut::Stall || (cut == Cut::StallForward && direction == Forward);
    }
    std::array<std::uint64_t, DirectionCount> bytes{};
    /// When the bytes accepted so far have left, at the bandwidth.
    std::array<Time, DirectionCount> freeAt{};
    std::set<std::shared_ptr<RelaySession>> sessions;
};

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
