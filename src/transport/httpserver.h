#pragma once

#include "base/iclock.h"
#include "estate/address.h"
#include "outcomes/httpmessage.h"

#include <absl/status/status.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

namespace lycheebay {

struct HttpServerSettings
{
    /// Port 0 takes any free port.
    Address listen = {};
    /// Each open connection, an idle one too, takes one thread.
    std::size_t maxConnections = 512;
    Duration idleTimeout = std::chrono::seconds(30);
    /// Bounds the whole head and the whole body, so that a slow sender cannot hold a connection.
    Duration headTimeout = std::chrono::seconds(5);
    Duration bodyTimeout = std::chrono::seconds(10);
    Duration writeTimeout = std::chrono::seconds(10);
    std::size_t maxTargetBytes = 8192;
    std::size_t maxHeadBytes = 16u << 10;
    std::size_t maxHeaders = 100;
    std::size_t maxBodyBytes = 1u << 20;
};

/// The caller's end of a connection while its request is handled.
class ICaller
{
public:
    virtual ~ICaller() = default;

    /// Tells whether the caller closed its connection or its sending half. Thread-safe; costs one
    /// system call.
    virtual bool isGone() const = 0;
};

/// Called in the connection's thread, at most maxConnections at a time.
using HttpHandler = std::function<HttpResponse(const HttpRequest &, const ICaller &)>;

struct HttpServerCounters
{
    std::atomic<std::uint64_t> connections{ 0 };
    std::atomic<std::uint64_t> refusedConnections{ 0 };
    std::atomic<std::uint64_t> badRequests{ 0 };
    std::atomic<std::uint64_t> handlerFailures{ 0 };
    std::atomic<std::size_t> openConnections{ 0 };
};

/// HTTP/1.1 server for callers. start() and stop() are called by the owner, one at a time; the
/// other methods are thread-safe.
class HttpServer
{
public:
    HttpServer(const HttpServerSettings &settings, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and listens. Errors: Unavailable when the address cannot be bound.
    absl::Status start();
    /// Accepts nothing more, closes idle connections and waits for running requests.
    void stop();

    std::uint16_t port() const;
    const HttpServerCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheebay
