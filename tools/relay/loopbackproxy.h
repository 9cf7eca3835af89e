#pragma once

#include "tools/relay/relaysession.h"

namespace lycheebay::relay {

/// Accepts connections on one address and relays them to another, with the faults of a RelayGroup.
/// Not thread-safe: use it on the thread that runs the io_context.
class LoopbackProxy final
{
public:
    explicit LoopbackProxy(asio::io_context &context);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    /// Listens. Errors: throws asio::system_error when the address is taken.
    void start(const asio::ip::tcp::endpoint &from, const asio::ip::tcp::endpoint &to);
    void setDelayMs(double delay) { m_group.delayMs = delay; }
    /// Changes the cut. Ending one lets held bytes go on.
    void setCut(Cut cut);
    /// Ends every open connection.
    void reset();

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_to;
    RelayGroup m_group;
};

} // namespace lycheebay::relay
