#pragma once

#include "estate/address.h"
#include "standins/common/httpmessage.h"

#include <absl/status/status.h>
#include <asio.hpp>

#include <array>
#include <functional>
#include <memory>
#include <set>

namespace lycheebay::standins {

class HttpServer;

/// One accepted connection. Used only on the thread that runs the io_context.
///
/// It keeps reading while a request is handled, so that a caller that closes is noticed at once.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(asio::ip::tcp::socket socket, HttpServer &server);

    void start();
    /// Answers the request in progress. Does nothing when the connection is closed.
    void respond(HttpResponse response);
    /// Closes at once, without an answer.
    void close();
    bool isOpen() const { return m_socket.is_open(); }

private:
    void readMore();
    void handleNext();

    asio::ip::tcp::socket m_socket;
    HttpServer &m_server;
    std::array<char, 16384> m_chunk;
    std::string m_input;
    std::string m_output;
    bool m_isBusy = false;
    bool m_closeAfter = false;
};

using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

/// HTTP/1.1 server for the stand-ins, with control over each connection. It must outlive the run of
/// its io_context and is used only on the thread that runs it.
class HttpServer
{
public:
    using RequestHandler = std::function<void(const HttpConnectionPtr &, HttpRequest)>;
    using ConnectionHandler = std::function<bool(std::size_t openConnections)>;

    HttpServer(asio::io_context &context, RequestHandler onRequest);

    /// \a onConnection returns false to close a new connection at once.
    void setConnectionHandler(ConnectionHandler onConnection);
    /// Port 0 chooses a free port. Errors: Unavailable.
    absl::Status listen(const Address &address);
    std::uint16_t port() const { return m_port; }
    /// Refuses new connections and closes those that are open, as a crashed process does.
    void stop();
    std::size_t openConnections() const { return m_connections.size(); }

private:
    friend class HttpConnection;

    void accept();

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    RequestHandler m_onRequest;
    ConnectionHandler m_onConnection;
    std::set<HttpConnectionPtr> m_connections;
    std::uint16_t m_port = 0;
};

} // namespace lycheebay::standins
