#include "gateway/internal/instanceconnections.h"

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

// Far below the time after which an instance closes an idle connection of a caller, so that a
// request does not cross the close.
constexpr Duration kIdleLimit = milliseconds(1500);
constexpr ClientConnectionOptions kTimeouts{ milliseconds(250), milliseconds(1500), {} };

} // namespace

IntrusivePtr<HttpClientConnection> InstanceConnections::acquire(const Address &address)
{
    return poolOf(address).acquire(kIdleLimit);
}

void InstanceConnections::release(const Address &address,
                                  const IntrusivePtr<HttpClientConnection> &connection)
{
    poolOf(address).release(connection);
}

void InstanceConnections::closeIdle()
{
    for (auto &[address, pool] : m_pools)
        pool.closeIdle(kIdleLimit);
    std::erase_if(m_pools, [](const auto &it) { return it.second.isEmpty(); });
}

HttpConnectionPool &InstanceConnections::poolOf(const Address &address)
{
    return m_pools.try_emplace(address, m_context, m_timers, m_clock, address, kTimeouts)
            .first->second;
}

} // namespace lycheebay
