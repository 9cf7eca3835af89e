#include "tools/relay/relaysession.h"

namespace lycheebay::relay {

using std::chrono::steady_clock;

namespace {

/// Bytes on the way in one direction before the relay stops reading, as a socket buffer would.
constexpr std::size_t kMaxQueuedBytes = 1024UL * 1024;

steady_clock::duration seconds(double count)
{
    return std::chrono::duration_cast<steady_clock::duration>(std::chrono::duration<double>(count));
}

} // namespace

RelaySession::RelaySession(asio::ip::tcp::socket client, RelayGroup &group)
    : m_group(group)
    , m_client(std::move(client))
    , m_target(m_client.get_executor())
    , m_pumps{ Pump(m_client, m_target), Pump(m_target, m_client) }
{}

void RelaySession::start(const asio::ip::tcp::endpoint &target)
{
    m_target.async_connect(target, [self = shared_from_this()](asio::error_code ec) {
        if (ec || !self->m_isOpen) {
            self->close();
            return;
        }
        self->m_client.set_option(asio::ip::tcp::no_delay(true), ec);
        self->m_target.set_option(asio::ip::tcp::no_delay(true), ec);
        self->read(Forward);
        self->read(Backward);
    });
}

void RelaySession::close()
{
    m_isOpen = false;
    asio::error_code ec;
    m_client.close(ec);
    m_target.close(ec);
    for (Pump &it : m_pumps)
        it.timer.cancel();
    m_group.sessions.erase(shared_from_this());
}

void RelaySession::resume()
{
    write(Forward);
    write(Backward);
}

void RelaySession::read(Direction direction)
{
    Pump &pump = m_pumps[direction];
    if (pump.isReading || pump.isAtEnd || pump.queuedBytes >= kMaxQueuedBytes)
        return;
    pump.isReading = true;
    auto onRead = [self = shared_from_this(), direction, &pump](asio::error_code ec,
                                                                std::size_t n) {
        pump.isReading = false;
        if (!self->m_isOpen)
            return;
        if (ec && ec != asio::error::eof) {
            self->close();
            return;
        }
        pump.isAtEnd = bool(ec);
        self->enqueue(direction, std::string(pump.buffer.data(), n));
        self->read(direction);
    };
    pump.from.async_read_some(asio::buffer(pump.buffer), std::move(onRead));
}

void RelaySession::enqueue(Direction direction, std::string data)
{
    const auto now = steady_clock::now();
    RelayGroup::Time &freeAt = m_group.freeAt[direction];
    freeAt = std::max(freeAt, now);
    if (m_group.bytesPerSecond > 0)
        freeAt += seconds(static_cast<double>(data.size()) / m_group.bytesPerSecond);
    m_group.bytes[direction] += data.size();
    m_pumps[direction].queuedBytes += data.size();
    m_pumps[direction].queue.push_back(
            { freeAt + seconds(m_group.delayMs / 1000), std::move(data) });
    write(direction);
}

void RelaySession::write(Direction direction)
{
    Pump &pump = m_pumps[direction];
    if (pump.isWriting || pump.queue.empty() || !m_isOpen || m_group.holds(direction))
        return;
    pump.isWriting = true;
    pump.timer.expires_at(pump.queue.front().due);
    pump.timer.async_wait([self = shared_from_this(), direction, &pump](asio::error_code) {
        if (!self->m_isOpen || self->m_group.holds(direction)) {
            pump.isWriting = false;
            return;
        }
        if (pump.queue.front().data.empty()) {
            self->finishChunk(direction);
            return;
        }
        auto onWritten = [self, direction](asio::error_code ec, std::size_t) {
            if (ec)
                self->close();
            else
                self->finishChunk(direction);
        };
        asio::async_write(pump.to, asio::buffer(pump.queue.front().data), std::move(onWritten));
    });
}

void RelaySession::finishChunk(Direction direction)
{
    Pump &pump = m_pumps[direction];
    const bool isEnd = pump.queue.front().data.empty();
    pump.queuedBytes -= pump.queue.front().data.size();
    pump.queue.pop_front();
    pump.isWriting = false;
    if (isEnd) {
        // The connection ends when both directions did.
        asio::error_code ec;
        pump.to.shutdown(asio::socket_base::shutdown_send, ec);
        const bool isDone = m_pumps[Forward].isAtEnd && m_pumps[Backward].isAtEnd
                            && m_pumps[Forward].queue.empty() && m_pumps[Backward].queue.empty();
        if (isDone)
            close();
        return;
    }
    read(direction);
    write(direction);
}

} // namespace lycheebay::relay
