#include "standins/clients/clientcrowd.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>

namespace lycheebay::standins {

namespace {

constexpr Duration kReconnectDelay = std::chrono::milliseconds(20);
// Receive buffer of clients that do not read.
constexpr int kSmallBuffer = 4096;

} // namespace

/// One client. Pending operations hold references to it.
class ClientCrowd::Client final : public RefCounted
{
public:
    Client(asio::io_context &context, ITimerService &timers, const Address &address,
           const ClientScript &script)
        : m_socket(context)
        , m_timers(timers)
        , m_endpoint(asio::ip::make_address(address.host), address.port)
        , m_script(script)
    {}

    void connect()
    {
        m_socket = asio::ip::tcp::socket(m_socket.get_executor());
        m_socket.open(m_endpoint.protocol());
        if (!m_script.readsAnswers)
            m_socket.set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
        const IntrusivePtr<Client> self(this);
        m_socket.async_connect(m_endpoint, [self, n = ++m_connection](asio::error_code ec) {
            if (!self->isCurrent(n))
                return;
            if (ec) {
                self->end();
                return;
            }
            self->m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
            self->m_piecesLeft = self->m_script.pieces;
            self->read();
            self->write(self->m_script.head);
        });
    }

    void stop()
    {
        m_isStopped = true;
        m_timer.reset();
        asio::error_code ec; // the connection may have ended
        m_socket.close(ec);
    }

    bool hasSentAll() const { return m_hasSentAll; }
    bool hasAnswer() const { return m_hasAnswer; }

private:
    bool isCurrent(int connection) const { return !m_isStopped && connection == m_connection; }

    void write(const std::string &bytes)
    {
        const IntrusivePtr<Client> self(this);
        asio::async_write(m_socket, asio::buffer(bytes),
                          [self, n = m_connection](asio::error_code ec, std::size_t) {
                              if (!self->isCurrent(n))
                                  return;
                              if (ec)
                                  self->end();
                              else
                                  self->writeNext();
                          });
    }

    void writeNext()
    {
        if (m_piecesLeft == 0) {
            m_hasSentAll = true;
            return;
        }
        --m_piecesLeft;
        if (m_script.pause == Duration::zero()) {
            write(m_script.piece);
            return;
        }
        m_timer = m_timers.after(m_script.pause, [this] { write(m_script.piece); });
    }

    void read()
    {
        const IntrusivePtr<Client> self(this);
        m_socket.async_read_some(asio::buffer(m_buffer),
                                 [self, n = m_connection](asio::error_code ec, std::size_t) {
                                     if (!self->isCurrent(n))
                                         return;
                                     if (ec) {
                                         self->end();
                                         return;
                                     }
                                     self->m_hasAnswer = true;
                                     if (self->m_script.readsAnswers)
                                         self->read();
                                 });
    }

    /// Called when the server has ended the connection.
    void end()
    {
        ++m_connection;
        m_hasSentAll = true;
        m_hasAnswer = true;
        asio::error_code ec; // the connection has ended
        m_socket.close(ec);
        m_timer.reset();
        if (m_script.reconnects)
            m_timer = m_timers.after(kReconnectDelay, [this] { connect(); });
    }

    asio::ip::tcp::socket m_socket;
    ITimerService &m_timers;
    const asio::ip::tcp::endpoint m_endpoint;
    /// Valid until stop().
    const ClientScript &m_script;
    TimerSubscription m_timer;
    std::array<char, 1024> m_buffer{};
    std::size_t m_piecesLeft = 0;
    /// Tells the operations of the current connection from those of an earlier one.
    int m_connection = 0;
    bool m_hasSentAll = false;
    bool m_hasAnswer = false;
    bool m_isStopped = false;
};

ClientCrowd::ClientCrowd(asio::io_context &context, ITimerService &timers, const Address &address,
                         std::size_t size, ClientScript script)
    : m_script(std::move(script))
{
    for (std::size_t i = 0; i < size; ++i) {
        m_clients.push_back(makeRef<Client>(context, timers, address, m_script));
        m_clients.back()->connect();
    }
}

ClientCrowd::~ClientCrowd()
{
    for (const IntrusivePtr<Client> &it : m_clients)
        it->stop();
}

bool ClientCrowd::isSettled() const
{
    return std::all_of(m_clients.begin(), m_clients.end(),
                       [](const auto &it) { return it->hasSentAll(); });
}

bool ClientCrowd::isAnswered() const
{
    return std::all_of(m_clients.begin(), m_clients.end(),
                       [](const auto &it) { return it->hasSentAll() && it->hasAnswer(); });
}

} // namespace lycheebay::standins
