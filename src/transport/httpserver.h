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
    /// Port 0 selects any free port.
    Address listen = {};
    /// Each open connection occupies one thread, also while it is idle. At the limit, a new one
    /// takes the place of the one that has waited for its caller the longest, if for minWaitTime at
    /// least.
    std::size_t maxConnections = 512;
    /// Bytes of a caller that began to wait more recently may be under way.
    Duration minWaitTime = std::chrono::milliseconds(100);
    Duration idleTimeout = std::chrono::seconds(30);
    /// Limits for receiving the whole head and the whole body, not for each read, so that a slow
    /// sender cannot keep a connection occupied.
    Duration headTimeout = std::chrono::seconds(5);
    Duration bodyTimeout = std::chrono::seconds(10);
    Duration writeTimeout = std::chrono::seconds(10);
    /// Limits the request target, that is path and query.
    std::size_t maxRequestTargetBytes = 8192;
    std::size_t maxHeadBytes = 16u << 10;
    std::size_t maxHeaders = 100;
    std::size_t maxBodyBytes = 1u << 20;
    /// Limits what the requests and responses of all connections hold together. Above it the
    /// largest ones end; one alone may be larger.
    std::size_t maxMessageBytes = 16u << 20;
};

/// The caller of the request that is being handled.
class ICaller
{
public:
    virtual ~ICaller() = default;

    /// Returns whether the caller closed its connection or its sending half. Thread-safe; makes one
    /// system call.
    virtual bool isGone() const = 0;
};

/// Handles one request. Called on the thread of the connection, so at most maxConnections calls run
/// at a time.
using HttpHandler = std::function<HttpResponse(const HttpRequest &, const ICaller &)>;

struct HttpServerCounters
{
    /// Accepted connections, including the refused ones.
    std::atomic<std::uint64_t> connections{ 0 };
    /// Connections over maxConnections.
    std::atomic<std::uint64_t> refusedConnections{ 0 };
    /// Requests that were rejected before they reached the handler.
    std::atomic<std::uint64_t> badRequests{ 0 };
    /// Requests whose handler threw an exception.
    std::atomic<std::uint64_t> handlerFailures{ 0 };
    std::atomic<std::size_t> openConnections{ 0 };
};

/// HTTP/1.1 server for callers. start() and stop() must not be called concurrently; the other
/// methods are thread-safe.
class HttpServer
{
public:
    HttpServer(const HttpServerSettings &settings, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds the address and starts to accept connections. Errors: Unavailable when the address
    /// cannot be bound.
    absl::Status start();
    /// Stops accepting connections, closes idle ones and waits for running requests.
    void stop();

    /// Returns the bound port, or 0 before start().
    std::uint16_t port() const;
    const HttpServerCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheebay
