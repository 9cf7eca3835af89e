#include "transport/peertransport.h"

#include "transport/internal/ioloop.h"
#include "transport/internal/peertransportimpl.h"

namespace lycheebay {

PeerTransport::PeerTransport(IoThread &thread, PeerTransportSettings settings)
    : m_impl(std::make_shared<Impl>(thread.loop().context, std::move(settings)))
{}

PeerTransport::PeerTransport(asio::io_context &context, PeerTransportSettings settings)
    : m_impl(std::make_shared<Impl>(context, std::move(settings)))
    , m_usesExternalLoop(true)
{}

PeerTransport::~PeerTransport()
{
    stop();
}

absl::Status PeerTransport::start(IPeerLinkListener *listener)
{
    return m_impl->start(listener);
}

void PeerTransport::stop()
{
    if (m_usesExternalLoop)
        m_impl->stopOnLoopThread();
    else
        m_impl->stop();
}

void PeerTransport::setDesiredAddresses(std::vector<Address> addresses)
{
    m_impl->setDesiredAddresses(std::move(addresses));
}

void PeerTransport::send(LinkId link, std::string frame)
{
    m_impl->send(link, std::move(frame));
}

void PeerTransport::close(LinkId link, std::string reason)
{
    m_impl->close(link, std::move(reason));
}

Address PeerTransport::boundAddress() const
{
    return m_impl->boundAddress();
}

std::size_t PeerTransport::queuedBytes() const
{
    return m_impl->queuedBytes();
}

} // namespace lycheebay
