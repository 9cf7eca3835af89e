#include "tools/relay/relaysession.h"

namespace lycheebay::relay {

using std::chrono::steady_clock;

namespace {

/// Bytes on the way in one direction before the relay stops reading, as a socket buffer would.
constexpr std::size_t kMaxQueuedBytes = 1024UL * 1024;
constexpr std::size_t kReadBytes = 16384;
/// How often a stalled or full link is looked at again.
constexpr std::chrono::milliseconds kRecheckInterval(5);

steady_clock::duration seconds(double count)
{
    return std::chrono::duration_cast<steady_clock::duration>(std::chrono::duration<double>(count));
}

} // namespace

RelaySession::RelaySession(asio::ip::tcp::socket client, RelayGroup &group)
    : m_group(group)
    , m_client(std::move(client))
    , m_target(m_client.get_executor())
    , m_pumps{ Pump{ m_client, m_target, asio::steady_timer(m_client.get_executor()) },
               Pump{ m_target, m_client, asio::steady_timer(m_client.get_executor()) } }
{}

void RelaySession::start(const asio::ip::tcp::endpoint &target)
{
    spawn(connect(target));
}

void RelaySession::spawn(asio::awaitable<void> task)
{
    auto onEnd = [self = shared_from_this()](std::exception_ptr error) {
        const bool isFinished =
                self->m_pumps[Forward].isFinished && self->m_pumps[Backward].isFinished;
        if (error || isFinished)
            self->close();
    };
    asio::co_spawn(m_client.get_executor(), std::move(task), std::move(onEnd));
}

void RelaySession::close()
{
    m_isOpen = false;
    asio::error_code ec;
    m_client.close(ec);
    m_target.close(ec);
    for (Pump &it : m_pumps)
        it.wakeUp.cancel();
    m_group.sessions.erase(shared_from_this());
}

asio::awaitable<void> RelaySession::connect(asio::ip::tcp::endpoint target)
{
    co_await m_target.async_connect(target, asio::use_awaitable);
    m_client.set_option(asio::ip::tcp::no_delay(true));
    m_target.set_option(asio::ip::tcp::no_delay(true));
    for (const Direction it : { Forward, Backward }) {
        spawn(read(it));
        spawn(write(it));
    }
}

asio::awaitable<void> RelaySession::read(Direction direction)
{
    Pump &pump = m_pumps[direction];
    std::string buffer(kReadBytes, '\0');
    asio::error_code ec;
    while (m_isOpen && !ec) {
        if (pump.queuedBytes >= kMaxQueuedBytes) {
            co_await wait(steady_clock::now() + kRecheckInterval);
            continue;
        }
        const std::size_t n = co_await pump.from.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
        if (ec && ec != asio::error::eof)
            throw asio::system_error(ec);
        pump.queue.push_back({ dueTime(direction, n), buffer.substr(0, n) });
        pump.queuedBytes += n;
        pump.wakeUp.cancel();
    }
}

asio::awaitable<void> RelaySession::write(Direction direction)
{
    Pump &pump = m_pumps[direction];
    while (m_isOpen && !pump.isFinished) {
        if (pump.queue.empty()) {
            asio::error_code ec;
            pump.wakeUp.expires_at(RelayGroup::Time::max());
            co_await pump.wakeUp.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        if (m_group.cut == Cut::Stall) {
            co_await wait(steady_clock::now() + kRecheckInterval);
            continue;
        }
        co_await wait(pump.queue.front().due);
        if (m_group.cut == Cut::Stall)
            continue;
        const Chunk chunk = std::move(pump.queue.front());
        pump.queue.pop_front();
        pump.queuedBytes -= chunk.data.size();
        pump.isFinished = chunk.data.empty();
        if (pump.isFinished)
            pump.to.shutdown(asio::socket_base::shutdown_send);
        else
            co_await asio::async_write(pump.to, asio::buffer(chunk.data), asio::use_awaitable);
    }
}

asio::awaitable<void> RelaySession::wait(RelayGroup::Time time)
{
    asio::steady_timer timer(m_client.get_executor(), time);
    co_await timer.async_wait(asio::use_awaitable);
}

RelayGroup::Time RelaySession::dueTime(Direction direction, std::size_t bytes)
{
    RelayGroup::Time &freeAt = m_group.freeAt[direction];
    freeAt = std::max(freeAt, steady_clock::now());
    if (m_group.bytesPerSecond > 0)
        freeAt += seconds(static_cast<double>(bytes) / m_group.bytesPerSecond);
    m_group.bytes[direction] += bytes;
    return freeAt + seconds(m_group.delayMs / 1000);
}

} // namespace lycheebay::relay
