#pragma once

#include "transport/httpserver.h"
#include "transport/internal/deadlinestream.h"
#include "transport/internal/requesthead.h"

namespace lycheebay {

/// Serves one caller's connection, request by request. Used by one thread.
class CallerConnection final : public ICaller
{
public:
    CallerConnection(int socket, const HttpServerSettings &settings, const HttpHandler &handler,
                     const Cancellation &stopping, HttpServerCounters &counters);

    void serve();
    /// Answers that there are too many connections, without handling a request.
    void refuse();

    bool isGone() const override;

private:
    bool serveRequest();
    bool readHead(std::size_t &headBytes);
    bool readBody(const RequestHead &head, std::string &body);
    HttpResponse handle(const HttpRequest &request);
    void reject(int status, std::string reason, const char *outcome = "not-run");
    const char *unhandledOutcome() const;
    bool respond(DeadlineStream &stream, const HttpResponse &response, std::string_view method,
                 bool keepAlive);
    void drain();

    const int m_socket;
    const HttpServerSettings &m_settings;
    const HttpHandler &m_handler;
    const Cancellation &m_stopping;
    HttpServerCounters &m_counters;
    DeadlineStream m_stream;
};

} // namespace lycheebay
