#include "http/httplistener.h"

#include "http/httpstatus.h"
#include "http/internal/httpsession.h"

#include <fmt/format.h>

namespace lycheebay {

namespace {

// How often idle and half-sent requests are looked for; far below the limits they are held to.
constexpr Duration kSweepPeriod = std::chrono::milliseconds(500);
// A connection that was used this recently does not give way to another: bytes of its caller may be
// under way.
constexpr Duration kMinWaitTime = std::chrono::milliseconds(500);
// Sessions that are looked at for one that gives way.
constexpr int kMaxCandidates = 64;
// Pause after an accept that failed, as when no descriptor is free.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

HttpExchange::HttpExchange(IntrusivePtr<HttpSession> session, HttpRequest request, TimePoint headAt)
    : m_session(std::move(session))
    , m_request(std::move(request))
    , m_headAt(headAt)
    , m_memory(m_session->memory(), [this] { releaseForOthers(); })
{}

HttpExchange::~HttpExchange()
{
    m_session->exchangeEnded(*this);
}

bool HttpExchange::isOverLimit() const
{
    return m_session->isOverLimit();
}

void HttpExchange::holdMemory()
{
    m_memory.resize(heldBytes(m_request));
}

void HttpExchange::releaseForOthers()
{
    const IntrusivePtr<HttpExchange> self(this);
    m_memory.resize(0);
    const auto callback = std::move(m_memoryNeeded);
    m_memoryNeeded = nullptr;
    if (callback)
        callback();
    else
        m_session->refuse(*this, httpstatus::kUnavailable, "out_of_memory");
}

void HttpExchange::respond(const HttpResponse &response, bool closes)
{
    m_callerGone = nullptr;
    m_memoryNeeded = nullptr;
    m_session->respond(*this, response, closes);
}

HttpListener::HttpListener(asio::io_context &context, ITimerService &timers, const IClock &clock,
                           Handler handler)
    : m_context(context)
    , m_clock(clock)
    , m_handler(std::move(handler))
    , m_memory(asio::use_service<CallerMemory>(context))
    , m_acceptor(context)
    , m_timers(timers)
{}

HttpListener::~HttpListener()
{
    closeAll();
}

absl::Status HttpListener::start(const Address &address)
{
    asio::error_code ec;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host, ec), address.port);
    if (!ec)
        m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec) {
        return absl::UnavailableError(
                fmt::format("cannot listen on {}: {}", address.toString(), ec.message()));
    }
    m_sweep = m_timers.every(kSweepPeriod, [this] { closeExpired(); });
    accept();
    return absl::OkStatus();
}

void HttpListener::stopAccepting()
{
    asio::error_code ec;
    m_acceptor.close(ec);
}

void HttpListener::closeAll()
{
    while (HttpSession *session = m_sessions.front())
        session->close();
}

void HttpListener::accept()
{
    m_acceptor.async_accept([this](asio::error_code ec, asio::ip::tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
            return;
        if (ec) {
            m_acceptRetry = m_timers.after(kAcceptRetryDelay, [this] { accept(); });
            return;
        }
        const bool full = m_connectionCount >= m_limits.connections && !makeRoom();
        if (m_connectionCount < m_limits.connections + m_limits.overLimit) {
            auto session = makeRef<HttpSession>(*this, std::move(socket), full);
            m_sessions.pushBack(session.get());
            session.get()->addRef(); // the listener's reference, given up in HttpSession::close()
            session->start();
        }
        accept();
    });
}

bool HttpListener::makeRoom()
{
    const TimePoint now = m_clock.now();
    HttpSession *stalled = nullptr;
    int candidates = kMaxCandidates;
    for (HttpSession *it = m_sessions.front(); it && candidates-- > 0; it = m_sessions.next(it)) {
        if (it->isIdle(now, kMinWaitTime)) {
            it->close();
            return true;
        }
        if (!stalled && it->isStalled(now, kMinWaitTime))
            stalled = it;
    }
    if (stalled)
        stalled->close();
    return stalled != nullptr;
}

void HttpListener::closeExpired()
{
    const TimePoint now = m_clock.now();
    for (HttpSession *it = m_sessions.front(); it;) {
        HttpSession *next = m_sessions.next(it);
        it->closeIfExpired(now);
        it = next;
    }
}

} // namespace lycheebay
