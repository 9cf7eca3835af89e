#pragma once

#include "http/internal/deadlinestream.h"
#include "transport/httpserver.h"
#include "transport/internal/callerregistry.h"
#include "transport/internal/requesthead.h"

namespace lycheebay {

/// Serves the requests on one caller's connection, one after another. serve() and refuse() block;
/// each connection has a thread of its own.
class CallerConnection final : public ICaller
{
public:
    CallerConnection(int socket, const HttpServerSettings &settings, const HttpHandler &handler,
                     const Cancellation &stopping, HttpServerCounters &counters,
                     CallerRegistry &registry);

    /// Tells that the connection has a slot, which it may have to give way while it waits for its
    /// caller.
    void waitForCaller() { m_registration.wait(); }
    /// Serves requests until the connection ends or the server stops.
    void serve();
    /// Responds that there are too many connections, without handling the request.
    void refuse();

    bool isGone() const override;

private:
    bool serveRequest();
    bool readHead(std::size_t &headBytes);
    bool readBody(const RequestHead &head, std::string &body);
    HttpResponse handle(const HttpRequest &request);
    void reject(int status, std::string reason, const char *outcome = "not-run");
    const char *outcomeOfUnhandledRequest() const;
    bool respond(DeadlineStream &stream, const HttpResponse &response, std::string_view method,
                 bool keepAlive);
    void discardInput();

    const int m_socket;
    const HttpServerSettings &m_settings;
    const HttpHandler &m_handler;
    const Cancellation &m_stopping;
    HttpServerCounters &m_counters;
    DeadlineStream m_stream;
    CallerRegistry::Connection m_registration;
};

} // namespace lycheebay
