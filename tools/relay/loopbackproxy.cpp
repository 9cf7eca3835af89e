#include "tools/relay/loopbackproxy.h"

namespace lycheebay::relay {

LoopbackProxy::LoopbackProxy(asio::io_context &context)
    : m_acceptor(context)
{}

LoopbackProxy::~LoopbackProxy()
{
    reset();
}

void LoopbackProxy::start(const asio::ip::tcp::endpoint &from, const asio::ip::tcp::endpoint &to)
{
    m_to = to;
    m_acceptor.open(from.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(from);
    m_acceptor.listen();
    accept();
}

void LoopbackProxy::accept()
{
    m_acceptor.async_accept([this](asio::error_code ec, asio::ip::tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
            return;
        if (!ec && m_group.cut != Cut::Drop) {
            auto session = std::make_shared<RelaySession>(std::move(socket), m_group);
            m_group.sessions.insert(session);
            session->start(m_to);
        }
        accept();
    });
}

void LoopbackProxy::setCut(Cut cut)
{
    m_group.cut = cut;
    if (cut == Cut::Drop)
        reset();
    if (cut != Cut::None)
        return;
    const auto sessions = m_group.sessions;
    for (const auto &it : sessions)
        it->resume();
}

void LoopbackProxy::reset()
{
    const auto sessions = m_group.sessions;
    for (const auto &it : sessions)
        it->close();
}

} // namespace lycheebay::relay
