#include "transport/targetclient.h"

#include "base/stringmap.h"
#include "transport/internal/targetconnection.h"

#include <algorithm>
#include <mutex>
#include <vector>

namespace lycheebay {

namespace {

TimePoint steadyNow()
{
    return std::chrono::steady_clock::now();
}

bool isSendAllowed(TimePoint deadline, const SendPredicate &maySend)
{
    const TimePoint now = steadyNow();
    return now < deadline && (!maySend || maySend(now));
}

} // namespace

class TargetClient::Private
{
public:
    using Connection = std::unique_ptr<TargetConnection>;

    explicit Private(const TargetClientSettings &settings)
        : m_settings(settings)
    {}

    /// Reserves a connection to \a address. Sets \a connection to the most recently used reusable
    /// one; null means that the caller must open a new one. Returns false when all
    /// maxConnectionsPerTarget connections are in use.
    bool acquire(const Address &address, Connection &connection)
    {
        std::vector<Connection> unusable;
        const std::lock_guard lock(m_mutex);
        Pool &pool = m_pools[address.toString()];
        while (!pool.idle.empty() && !connection) {
            Connection candidate = std::move(pool.idle.back());
            pool.idle.pop_back();
            if (candidate->idleSince() + m_settings.idleTimeout > steadyNow()
                && candidate->isReusable())
                connection = std::move(candidate);
            else
                unusable.push_back(std::move(candidate));
        }
        pool.open -= unusable.size();
        if (connection)
            return true;
        if (pool.open >= m_settings.maxConnectionsPerTarget)
            return false;
        ++pool.open;
        return true;
    }

    /// Returns a reserved connection to the pool; null if it was closed.
    void release(const Address &address, Connection connection)
    {
        const std::lock_guard lock(m_mutex);
        Pool &pool = m_pools[address.toString()];
        if (!connection) {
            --pool.open;
            return;
        }
        connection->setIdleSince(steadyNow());
        pool.idle.push_back(std::move(connection));
    }

    void closeIdle()
    {
        std::vector<Connection> expired;
        const std::lock_guard lock(m_mutex);
        const TimePoint limit = steadyNow() - m_settings.idleTimeout;
        for (auto it = m_pools.begin(); it != m_pools.end();) {
            Pool &pool = it->second;
            const auto keep = std::find_if(pool.idle.begin(), pool.idle.end(),
                                           [&](const auto &c) { return c->idleSince() > limit; });
            pool.open -= static_cast<std::size_t>(keep - pool.idle.begin());
            std::move(pool.idle.begin(), keep, std::back_inserter(expired));
            pool.idle.erase(pool.idle.begin(), keep);
            it = pool.open == 0 ? m_pools.erase(it) : std::next(it);
        }
    }

    std::size_t openCount(const Address &address) const
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_pools.find(address.toString());
        return it == m_pools.end() ? 0 : it->second.open;
    }

    const TargetClientSettings &settings() const { return m_settings; }

private:
    struct Pool
    {
        /// Sorted by idle time, longest first.
        std::vector<Connection> idle;
        /// Number of idle connections and those in use.
        std::size_t open = 0;
    };

    const TargetClientSettings m_settings;
    mutable std::mutex m_mutex;
    StringMap<Pool> m_pools;
};

TargetClient::TargetClient(const TargetClientSettings &settings)
    : m_private(std::make_unique<Private>(settings))
{}

TargetClient::~TargetClient() = default;

ExchangeResult TargetClient::exchange(const Address &address, const HttpRequest &request,
                                      TimePoint deadline, const Cancellation *cancellation,
                                      const SendPredicate &maySend)
{
    const TimePoint start = steadyNow();
    const TargetClientSettings &settings = m_private->settings();
    ExchangeResult exchangeResult;
    exchangeResult.result.outcome = AttemptOutcome::Cancelled;
    Private::Connection connection;
    if (!m_private->acquire(address, connection))
        return exchangeResult;
    StreamState state = StreamState::Open;
    if (!connection) {
        connection = std::make_unique<TargetConnection>();
        state = connection->connect(address, std::min(deadline, start + settings.connectTimeout),
                                    cancellation);
    }
    bool reusable = false;
    if (state != StreamState::Open) {
        if (state != StreamState::Cancelled)
            exchangeResult.result.outcome = AttemptOutcome::NotConnected;
    } else if (!isSendAllowed(deadline, maySend)) {
        reusable = true;
    } else {
        reusable = connection->exchange(address, request, deadline, cancellation,
                                        settings.maxResponseBytes, exchangeResult);
    }
    if (!reusable)
        connection.reset();
    m_private->release(address, std::move(connection));
    exchangeResult.result.latency = steadyNow() - start;
    return exchangeResult;
}

void TargetClient::closeIdle()
{
    m_private->closeIdle();
}

std::size_t TargetClient::openCount(const Address &address) const
{
    return m_private->openCount(address);
}

} // namespace lycheebay
