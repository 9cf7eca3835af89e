#include "standins/common/httpserver.h"

namespace lycheebay::standins {

namespace {

constexpr std::size_t kMaxInputBytes = 16UL * 1024 * 1024;

} // namespace

HttpConnection::HttpConnection(asio::ip::tcp::socket socket, HttpServer &server)
    : m_socket(std::move(socket))
    , m_server(server)
{}

void HttpConnection::start()
{
    asio::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    readMore();
}

void HttpConnection::readMore()
{
    auto onRead = [self = shared_from_this()](asio::error_code ec, std::size_t n) {
        self->m_input.append(self->m_chunk.data(), n);
        if (ec || self->m_input.size() > kMaxInputBytes) {
            self->close();
            return;
        }
        self->handleNext();
        if (self->isOpen())
            self->readMore();
    };
    m_socket.async_read_some(asio::buffer(m_chunk), std::move(onRead));
}

void HttpConnection::handleNext()
{
    HttpRequest request;
    if (m_isBusy || !isOpen())
        return;
    const ParseResult result = takeRequest(m_input, request);
    if (result == ParseResult::NeedMore)
        return;
    m_isBusy = true;
    if (result == ParseResult::Invalid) {
        HttpResponse response;
        response.status = 400;
        response.closeAfter = true;
        response.body = R"({"error":"malformed request"})";
        respond(std::move(response));
        return;
    }
    m_closeAfter = request.header("connection") == "close";
    m_server.m_onRequest(shared_from_this(), std::move(request));
}

void HttpConnection::respond(HttpResponse response)
{
    if (!isOpen())
        return;
    response.closeAfter = response.closeAfter || m_closeAfter;
    m_output = response.serialize();
    auto onWritten = [self = shared_from_this(),
                      closeAfter = response.closeAfter](asio::error_code ec, std::size_t) {
        if (ec || closeAfter) {
            self->close();
            return;
        }
        self->m_isBusy = false;
        self->handleNext();
    };
    asio::async_write(m_socket, asio::buffer(m_output), std::move(onWritten));
}

void HttpConnection::close()
{
    if (!isOpen())
        return;
    asio::error_code ec;
    m_socket.close(ec);
    m_server.m_connections.erase(shared_from_this());
}

HttpServer::HttpServer(asio::io_context &context, RequestHandler onRequest)
    : m_context(context)
    , m_acceptor(context)
    , m_onRequest(std::move(onRequest))
{}

void HttpServer::setConnectionHandler(ConnectionHandler onConnection)
{
    m_onConnection = std::move(onConnection);
}

absl::Status HttpServer::listen(const Address &address)
{
    asio::error_code ec;
    const auto host = asio::ip::make_address(address.host, ec);
    if (ec)
        return absl::InvalidArgumentError("not an IP address: " + address.host);
    const asio::ip::tcp::endpoint endpoint(host, address.port);
    m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec) {
        const std::string reason = ec.message();
        m_acceptor.close(ec);
        return absl::UnavailableError("cannot listen on " + address.toString() + ": " + reason);
    }
    m_port = m_acceptor.local_endpoint().port();
    accept();
    return absl::OkStatus();
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](asio::error_code ec, asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open() || ec == asio::error::operation_aborted)
            return;
        if (!ec && (!m_onConnection || m_onConnection(m_connections.size()))) {
            auto connection = std::make_shared<HttpConnection>(std::move(socket), *this);
            m_connections.insert(connection);
            connection->start();
        }
        accept();
    });
}

void HttpServer::stop()
{
    asio::error_code ec;
    m_acceptor.close(ec);
    const auto open = m_connections;
    for (const HttpConnectionPtr &it : open)
        it->close();
}

} // namespace lycheebay::standins
