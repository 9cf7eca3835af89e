#include "transport/httpserver.h"

#include "base/log.h"
#include "transport/internal/callerconnection.h"
#include "transport/internal/callerregistry.h"
#include "transport/internal/connectionthreadpool.h"

#include <fmt/format.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace lycheebay {

namespace {

/// Additional threads that answer connections over maxConnections with an error.
constexpr std::size_t kRefusalThreads = 8;
/// Accepted connections that wait for a thread.
constexpr std::size_t kMaxQueuedConnections = 32;
/// Limit for the time until a connection that gives way has ended.
constexpr std::chrono::seconds kMaxRoomWait{ 1 };
/// httplib listens with a backlog of 5. A burst of connections overflows it, and each dropped
/// connection attempt is repeated by the caller's TCP stack only after a second.
constexpr int kListenBacklog = SOMAXCONN;
/// Limits how often the listener is restarted after an error of accept().
constexpr int kMaxRebinds = 100;

void setListenOptions(socket_t socket)
{
    // httplib also sets SO_REUSEPORT by default, which would let two daemons bind the same port
    // without an error.
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

/// Uses httplib's listener and accept loop, but handles connections with CallerConnection.
/// httplib's own request handling decodes bodies, parses forms, applies ranges, compresses, and
/// ignores the body of a GET; a load balancer must forward all of these unchanged.
class HttpServer::Private final : public httplib::Server
{
public:
    Private(const HttpServerSettings &settings, HttpHandler handler)
        : m_settings(settings)
        , m_handler(std::move(handler))
        , m_registry(settings.maxMessageBytes)
    {
        set_socket_options(setListenOptions);
        new_task_queue = [this] {
            return new ConnectionThreadPool(m_settings.maxConnections + kRefusalThreads,
                                            kMaxQueuedConnections);
        };
    }

    absl::Status start()
    {
        if (!bind(m_settings.listen.port)) {
            return absl::UnavailableError(
                    fmt::format("cannot listen on {}", m_settings.listen.toString()));
        }
        m_acceptThread = std::thread([this] { runAcceptLoop(); });
        while (!is_running() && !m_acceptLoopEnded)
            std::this_thread::yield();
        return absl::OkStatus();
    }

    void shutDown()
    {
        m_stopping.cancel();
        if (!m_acceptThread.joinable())
            return;
        while (!m_acceptLoopEnded && !is_running())
            std::this_thread::yield();
        if (!m_acceptLoopEnded)
            Server::stop();
        m_acceptThread.join();
    }

    std::uint16_t port() const { return m_port; }
    const HttpServerCounters &counters() const { return m_counters; }

private:
    bool bind(std::uint16_t port)
    {
        const std::string &host = m_settings.listen.host;
        const int bound = port == 0 ? bind_to_any_port(host) : bind_to_port(host, port) ? port : -1;
        if (bound <= 0)
            return false;
        m_port = static_cast<std::uint16_t>(bound);
        return ::listen(svr_sock_, kListenBacklog) == 0;
    }

    void runAcceptLoop()
    {
        for (int i = 0; i < kMaxRebinds; ++i) {
            listen_after_bind();
            if (m_stopping.isCancelled())
                break;
            // httplib leaves its accept loop on errors of accept() such as ECONNABORTED.
            LOG4CPLUS_WARN(componentLogger("http"), "accept() failed, listening again");
            if (!bind(m_port))
                break;
        }
        m_acceptLoopEnded = true;
    }

    bool process_and_close_socket(socket_t socket) override
    {
        ++m_counters.connections;
        setNoDelay(socket);
        bool withinLimit = false;
        try {
            CallerConnection connection(socket, m_settings, m_handler, m_stopping, m_counters,
                                        m_registry);
            withinLimit = takeSlot(connection);
            if (withinLimit) {
                connection.serve();
            } else {
                ++m_counters.refusedConnections;
                connection.refuse();
            }
        } catch (const std::exception &e) {
            LOG4CPLUS_ERROR(componentLogger("http"), "serving a connection failed: " << e.what());
        }
        if (withinLimit)
            freeSlot();
        close(socket);
        return true;
    }

    /// Counts a connection as open. At the limit, another one that waits for its caller makes room;
    /// returns false if there is none.
    bool takeSlot(CallerConnection &connection)
    {
        std::unique_lock lock(m_slotMutex);
        const auto isFree = [this](std::size_t reserved) {
            return m_counters.openConnections + reserved < m_settings.maxConnections;
        };
        if (!isFree(m_reservedSlots)) {
            if (!m_registry.endLongestWait(m_settings.minWaitTime))
                return false;
            ++m_reservedSlots;
            const bool hasRoom =
                    m_slotFreed.wait_for(lock, kMaxRoomWait, [&] { return isFree(0); });
            --m_reservedSlots;
            if (!hasRoom)
                return false;
        }
        ++m_counters.openConnections;
        connection.waitForCaller(); // under the lock: whoever finds no slot finds this connection
        return true;
    }

    void freeSlot()
    {
        const std::lock_guard lock(m_slotMutex);
        --m_counters.openConnections;
        m_slotFreed.notify_one();
    }

    const HttpServerSettings m_settings;
    const HttpHandler m_handler;
    Cancellation m_stopping;
    HttpServerCounters m_counters;
    CallerRegistry m_registry;
    std::mutex m_slotMutex;
    std::condition_variable m_slotFreed;
    /// Slots that connections wait for which have made another one end.
    std::size_t m_reservedSlots = 0;
    std::thread m_acceptThread;
    std::atomic<bool> m_acceptLoopEnded{ false };
    std::atomic<std::uint16_t> m_port{ 0 };
};

HttpServer::HttpServer(const HttpServerSettings &settings, HttpHandler handler)
    : m_private(std::make_unique<Private>(settings, std::move(handler)))
{}

HttpServer::~HttpServer()
{
    stop();
}

absl::Status HttpServer::start()
{
    return m_private->start();
}

void HttpServer::stop()
{
    m_private->shutDown();
}

std::uint16_t HttpServer::port() const
{
    return m_private->port();
}

const HttpServerCounters &HttpServer::counters() const
{
    return m_private->counters();
}

} // namespace lycheebay
