#include "http/httpconnectionpool.h"

namespace lycheebay {

HttpConnectionPool::HttpConnectionPool(asio::io_context &context, ITimerService &timers,
                                       const IClock &clock, const Address &address,
                                       const ClientConnectionOptions &options)
    : m_context(context)
    , m_timers(timers)
    , m_clock(clock)
    , m_address(address)
    , m_options(options)
{}

HttpConnectionPool::~HttpConnectionPool()
{
    while (HttpClientConnection *it = m_idle.front())
        drop(it);
}

void HttpConnectionPool::drop(HttpClientConnection *connection)
{
    const auto last = IntrusivePtr<HttpClientConnection>::adopt(connection);
    connection->unlink();
    connection->close();
}

IntrusivePtr<HttpClientConnection> HttpConnectionPool::acquire(Duration maxIdle)
{
    while (m_idle.front() && !m_idle.front()->isOpen())
        drop(m_idle.front());
    HttpClientConnection *it = m_idle.front();
    if (!it || !it->isReusable(m_clock.now(), maxIdle)) {
        return makeRef<HttpClientConnection>(m_context, m_timers, m_clock, m_address, m_options);
    }
    it->unlink();
    return IntrusivePtr<HttpClientConnection>::adopt(it);
}

void HttpConnectionPool::release(const IntrusivePtr<HttpClientConnection> &connection)
{
    if (!connection->isOpen() || connection->isBusy())
        return;
    connection->addRef(); // the list's reference, given up in drop() or acquire()
    m_idle.pushFront(connection.get());
}

void HttpConnectionPool::closeIdle(Duration maxIdle)
{
    const TimePoint now = m_clock.now();
    for (HttpClientConnection *it = m_idle.front(); it;) {
        HttpClientConnection *next = m_idle.next(it);
        if (!it->isReusable(now, maxIdle))
            drop(it);
        it = next;
    }
}

} // namespace lycheebay
