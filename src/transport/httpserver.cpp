#include "transport/httpserver.h"

#include "base/log.h"
#include "transport/internal/callerconnection.h"
#include "transport/internal/connectionthreads.h"

#include <fmt/format.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

namespace lycheebay {

namespace {

/// Threads beside those of the open connections, which answer connections over the bound.
constexpr std::size_t kRefusalThreads = 8;
/// httplib listens with a backlog of 5; a burst of callers overflows that, and each one dropped
/// waits a second for its next attempt.
constexpr int kBacklog = 512;
constexpr int kMaxRebinds = 100;

void setListenOptions(socket_t socket)
{
    // httplib's default includes SO_REUSEPORT, by which two daemons could share a port unnoticed.
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

/// Uses httplib's listener and accept loop, with its own connections: httplib's request path
/// decodes bodies, takes forms apart, applies ranges and compresses, and reads no body of a GET,
/// which a load balancer must pass on unchanged.
class HttpServer::Private final : public httplib::Server
{
public:
    Private(const HttpServerSettings &settings, HttpHandler handler)
        : m_settings(settings)
        , m_handler(std::move(handler))
    {
        set_socket_options(setListenOptions);
        new_task_queue = [this] {
            return new ConnectionThreads(m_settings.maxConnections + kRefusalThreads);
        };
    }

    absl::Status start()
    {
        if (!bind(m_settings.listen.port)) {
            return absl::UnavailableError(
                    fmt::format("cannot listen on {}", m_settings.listen.toString()));
        }
        m_listener = std::thread([this] { listenUntilStopped(); });
        while (!is_running() && !m_stopped)
            std::this_thread::yield();
        return absl::OkStatus();
    }

    void shutDown()
    {
        m_stopping.cancel();
        if (!m_listener.joinable())
            return;
        while (!m_stopped && !is_running())
            std::this_thread::yield();
        if (!m_stopped)
            Server::stop();
        m_listener.join();
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
        return ::listen(svr_sock_, kBacklog) == 0;
    }

    void listenUntilStopped()
    {
        for (int i = 0; i < kMaxRebinds; ++i) {
            listen_after_bind();
            if (m_stopping.isCancelled())
                break;
            // httplib ends its loop on any error of accept(), for example ECONNABORTED.
            LOG4CPLUS_WARN(componentLogger("http"), "accepting failed, listening again");
            if (!bind(m_port))
                break;
        }
        m_stopped = true;
    }

    bool process_and_close_socket(socket_t socket) override
    {
        setNoDelay(socket);
        ++m_counters.connections;
        const bool withinBound = ++m_counters.openConnections <= m_settings.maxConnections;
        if (!withinBound)
            --m_counters.openConnections;
        try {
            CallerConnection connection(socket, m_settings, m_handler, m_stopping, m_counters);
            if (withinBound) {
                connection.serve();
            } else {
                ++m_counters.refusedConnections;
                connection.refuse();
            }
        } catch (const std::exception &e) {
            LOG4CPLUS_ERROR(componentLogger("http"), "connection failed: " << e.what());
        }
        if (withinBound)
            --m_counters.openConnections;
        close(socket);
        return true;
    }

    const HttpServerSettings m_settings;
    const HttpHandler m_handler;
    Cancellation m_stopping;
    HttpServerCounters m_counters;
    std::thread m_listener;
    std::atomic<bool> m_stopped{ false };
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
