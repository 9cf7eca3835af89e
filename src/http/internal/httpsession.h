#pragma once

#include "http/httplistener.h"

#include <array>

namespace lycheebay {

/// One connection of a caller. Reads ahead while a request runs, to notice a caller that leaves.
class HttpSession final : public RefCounted, public ListNode<HttpListener>
{
public:
    /// \a overLimit ends the connection after its first response.
    HttpSession(HttpListener &listener, asio::ip::tcp::socket socket, bool overLimit);
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void start();
    void respond(const HttpExchange &exchange, const HttpResponse &response, bool closes);
    /// Refuses a request that waits for its response; the connection ends after it.
    void refuse(const HttpExchange &exchange, int status, const char *reason);
    void close();
    /// Ends the connection if the exchange was not answered.
    void exchangeEnded(const HttpExchange &exchange);
    /// Ends the connection if it is idle, or its request incomplete, for too long.
    void closeIfExpired(TimePoint now);
    /// True if the connection carries no request, nor a part of one, for at least \a span.
    bool isIdle(TimePoint now, Duration span) const;
    /// True if the caller has not completed its request, or has taken no byte of a response, for at
    /// least \a span.
    bool isStalled(TimePoint now, Duration span) const;
    bool isOverLimit() const { return m_overLimit; }
    CallerMemory &memory() const { return m_callerMemory; }

private:
    /// What follows when bytes have been sent.
    enum class AfterWrite { ReadBody, NextRequest, Close, Discard };

    void read();
    void onRead(asio::error_code ec, std::size_t n);
    void parse();
    void headRead();
    void handleRequest();
    void reject(HttpMessageParser::State state);
    /// Refuses the request that is being read. What follows it is not read.
    void refuse(int status, const char *reason);
    /// Counts the memory that the session holds. It may end the session.
    void holdMemory();
    void releaseForOthers();
    void write(std::string bytes, AfterWrite next);
    void written(AfterWrite next);
    void discard(std::size_t n);
    void callerGone();
    /// Marks the session as the one used last.
    void moveToBack();

    /// Null once the connection is closed.
    HttpListener *m_listener;
    CallerMemory &m_callerMemory;
    MessageMemory::Share m_memory;
    asio::ip::tcp::socket m_socket;
    HttpMessageParser m_parser;
    std::array<char, 8192> m_buffer{};
    std::string m_input;
    std::string m_output;
    /// The request that runs; it holds a reference to this session.
    HttpExchange *m_exchange = nullptr;
    /// Start of the request that is read, or of the time without one.
    TimePoint m_since;
    TimePoint m_headAt;
    /// When the caller last took bytes of what is sent.
    TimePoint m_takenAt;
    /// When the request that is read must be complete.
    TimePoint m_expiresAt;
    const bool m_overLimit;
    bool m_isHeadRead = false;
    bool m_reading = false;
    bool m_lastRequest = false;
    bool m_writing = false;
    /// The rest of a request that was refused is read and dropped: closing a connection with unread
    /// bytes resets it, and the caller may lose the response.
    bool m_isDiscarding = false;
    std::size_t m_discardedBytes = 0;
};

} // namespace lycheebay
