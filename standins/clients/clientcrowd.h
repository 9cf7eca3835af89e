#pragma once

#include "base/intrusiveptr.h"
#include "base/itimerservice.h"
#include "estate/address.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace lycheebay::standins {

/// What each client of a crowd sends on its connection. It ends the connection only with the crowd.
struct ClientScript
{
    std::string head;
    /// Sent after the head, as many times as \a pieces says.
    std::string piece;
    std::size_t pieces = 0;
    /// Time before each piece.
    Duration pause{};
    /// False: reads the first bytes of the first answer and nothing else.
    bool readsAnswers = true;
    /// Connects again, and sends everything again, when the server has ended the connection.
    bool reconnects = false;

    auto operator<=>(const ClientScript &) const = default;
};

/// Plays clients that send what they like and stay connected. Not thread-safe: use it on its event
/// loop.
class ClientCrowd final
{
public:
    /// Connects \a size clients to \a address.
    ClientCrowd(asio::io_context &context, ITimerService &timers, const Address &address,
                std::size_t size, ClientScript script);
    /// Ends all connections.
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /// True if each client has sent everything once, or its connection has ended.
    bool isSettled() const;
    /// True if, moreover, each client has read bytes of an answer, or its connection has ended.
    bool isAnswered() const;

private:
    class Client;

    const ClientScript m_script;
    std::vector<IntrusivePtr<Client>> m_clients;
};

} // namespace lycheebay::standins
