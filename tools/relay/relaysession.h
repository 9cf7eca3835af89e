#pragma once

#include <asio.hpp>

#include <array>
#include <chrono>
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
    Stall
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

private:
    struct Chunk
    {
        RelayGroup::Time due;
        /// Empty at the end of the stream.
        std::string data;
    };
    struct Pump
    {
        asio::ip::tcp::socket &from;
        asio::ip::tcp::socket &to;
        /// Cancelled when the queue gets its first chunk and when the session closes.
        asio::steady_timer wakeUp;
        std::deque<Chunk> queue{};
        std::size_t queuedBytes = 0;
        bool isFinished = false;
    };

    asio::awaitable<void> connect(asio::ip::tcp::endpoint target);
    asio::awaitable<void> read(Direction direction);
    asio::awaitable<void> write(Direction direction);
    asio::awaitable<void> wait(RelayGroup::Time time);
    RelayGroup::Time dueTime(Direction direction, std::size_t bytes);
    void spawn(asio::awaitable<void> task);

    RelayGroup &m_group;
    asio::ip::tcp::socket m_client;
    asio::ip::tcp::socket m_target;
    std::array<Pump, DirectionCount> m_pumps;
    bool m_isOpen = true;
};

} // namespace lycheebay::relay
