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

bool mayStart(TimePoint deadline, const SendGate &gate)
{
    const TimePoint now = steadyNow();
    return now < deadline && (!gate || gate(now));
}

} // namespace

class TargetClient::Private
{
public:
    using Connection = std::unique_ptr<TargetConnection>;

    explicit Private(const TargetClientSettings &settings)
        : m_settings(settings)
    {}

    /// Counts a connection of \a address as used; false when its bound is reached. \a connection
    /// is the most recently used clean one, or null when a new one must be made.
    bool acquire(const Address &address, Connection &connection)
    {
        std::vector<Connection> unusable;
        const std::lock_guard lock(m_mutex);
        Pool &pool = m_pools[address.toString()];
        while (!pool.idle.empty() && !connection) {
            Connection candidate = std::move(pool.idle.back());
            pool.idle.pop_back();
            if (candidate->idleSince() + m_settings.idleLife > steadyNow() && candidate->isClean())
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

    /// Ends the use of a connection; a null one was closed.
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
        const TimePoint limit = steadyNow() - m_settings.idleLife;
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
        /// Longest idle first.
        std::vector<Connection> idle;
        /// Idle ones and those in use.
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
                                      const SendGate &gate)
{
    const TimePoint began = steadyNow();
    const TargetClientSettings &settings = m_private->settings();
    ExchangeResult answer;
    answer.result.outcome = AttemptOutcome::Cancelled;
    Private::Connection connection;
    if (!m_private->acquire(address, connection))
        return answer;
    StreamState state = StreamState::Open;
    if (!connection) {
        connection = std::make_unique<TargetConnection>();
        state = connection->connect(address, std::min(deadline, began + settings.connectTimeout),
                                    cancellation);
    }
    bool reusable = false;
    if (state != StreamState::Open) {
        if (state != StreamState::Cancelled)
            answer.result.outcome = AttemptOutcome::NotConnected;
    } else if (!mayStart(deadline, gate)) {
        reusable = true;
    } else {
        reusable = connection->exchange(address, request, deadline, cancellation,
                                        settings.maxResponseBytes, answer);
    }
    if (!reusable)
        connection.reset();
    m_private->release(address, std::move(connection));
    answer.result.latency = steadyNow() - began;
    return answer;
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
