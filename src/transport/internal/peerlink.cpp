#include "transport/internal/peerlink.h"

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

namespace lycheebay {

namespace {

constexpr std::size_t kLengthBytes = 4;
// A larger read buffer, as grown for a snapshot, is freed after use, so that idle links use little
// memory.
constexpr std::size_t kMaxIdleBufferBytes = std::size_t{ 16 } << 10;

std::string withLength(const std::string &frame)
{
    const auto size = static_cast<std::uint32_t>(frame.size());
    std::string bytes;
    bytes.reserve(kLengthBytes + frame.size());
    for (std::size_t i = 0; i < kLengthBytes; ++i)
        bytes.push_back(static_cast<char>((size >> (8 * i)) & 0xff));
    bytes += frame;
    return bytes;
}

} // namespace

PeerLink::PeerLink(LinkId id, asio::ip::tcp::socket socket, const PeerTransportSettings &settings,
                   Owner owner)
    : m_id(id)
    , m_socket(std::move(socket))
    , m_sendTimer(m_socket.get_executor())
    , m_settings(settings)
    , m_owner(std::move(owner))
{}

PeerLink::~PeerLink()
{
    dropQueue();
}

void PeerLink::start()
{
    asio::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    readLength();
}

void PeerLink::send(const std::string &frame)
{
    if (m_closed)
        return;
    if (frame.size() > m_settings.maxFrameBytes) {
        fail(fmt::format("outgoing frame of {} bytes exceeds the limit", frame.size()));
        return;
    }
    if (m_queuedBytes + frame.size() > m_settings.maxQueuedBytes) {
        fail("send queue is full");
        return;
    }
    m_queue.push_back(withLength(frame));
    m_queuedBytes += m_queue.back().size();
    *m_owner.queuedBytes += m_queue.back().size();
    if (!m_writing)
        writeNext();
}

void PeerLink::close()
{
    if (m_closed)
        return;
    m_closed = true;
    asio::error_code ec;
    m_sendTimer.cancel();
    m_socket.close(ec);
}

void PeerLink::readLength()
{
    asio::async_read(m_socket, asio::buffer(m_lengthBytes),
                     [self = shared_from_this()](asio::error_code ec, std::size_t) {
                         if (self->m_closed)
                             return;
                         if (ec) {
                             self->fail(ec.message());
                             return;
                         }
                         std::size_t size = 0;
                         for (std::size_t i = 0; i < kLengthBytes; ++i)
                             size |= std::size_t{ self->m_lengthBytes[i] } << (8 * i);
                         self->readFrame(size);
                     });
}

void PeerLink::readFrame(std::size_t size)
{
    if (size == 0 || size > m_settings.maxFrameBytes) {
        fail(fmt::format("invalid frame length {}, expected 1 to {}", size,
                         m_settings.maxFrameBytes));
        return;
    }
    m_frame.resize(size);
    asio::async_read(m_socket, asio::buffer(m_frame),
                     [self = shared_from_this()](asio::error_code ec, std::size_t) {
                         if (self->m_closed)
                             return;
                         if (ec)
                             self->fail(ec.message());
                         else
                             self->handleFrame();
                     });
}

void PeerLink::handleFrame()
{
    const absl::Status status = m_owner.frameReceived(m_id, m_frame);
    if (m_closed)
        return;
    if (!status.ok()) {
        fail(std::string(status.message()));
        return;
    }
    if (m_frame.capacity() > kMaxIdleBufferBytes) {
        m_frame.clear();
        m_frame.shrink_to_fit();
    }
    readLength();
}

void PeerLink::writeNext()
{
    m_writing = true;
    startSendTimer();
    asio::async_write(m_socket, asio::buffer(m_queue.front()),
                      [self = shared_from_this()](asio::error_code ec, std::size_t) {
                          self->handleWrite(ec);
                      });
}

void PeerLink::handleWrite(asio::error_code ec)
{
    m_writing = false;
    if (m_closed)
        return;
    if (ec) {
        fail(ec.message());
        return;
    }
    m_queuedBytes -= m_queue.front().size();
    *m_owner.queuedBytes -= m_queue.front().size();
    m_queue.pop_front();
    m_sendTimer.cancel();
    if (!m_queue.empty())
        writeNext();
}

void PeerLink::startSendTimer()
{
    m_sendTimer.expires_after(m_settings.sendTimeout);
    m_sendTimer.async_wait([self = shared_from_this()](asio::error_code ec) {
        if (!ec && !self->m_closed)
            self->fail("send timeout: the peer does not read");
    });
}

void PeerLink::fail(const std::string &reason)
{
    if (m_closed)
        return;
    close();
    m_owner.failed(m_id, reason);
}

void PeerLink::dropQueue()
{
    *m_owner.queuedBytes -= m_queuedBytes;
    m_queuedBytes = 0;
    m_queue.clear();
}

} // namespace lycheebay
