#pragma once

#include "base/intrusivelist.h"

#include <asio/execution_context.hpp>

#include <cstddef>
#include <functional>

namespace lycheebay {

/// Bounds the memory that all client connections of an event loop together hold for responses that
/// are not complete. The bound of a single response is not enough: faulty servers may send to many
/// connections at once. Above the bound, the connections that hold the most end their exchange, so
/// that those with ordinary responses go on. Not thread-safe: use it on its event loop.
class ResponseMemory final : public asio::execution_context::service
{
public:
    /// The memory that one connection holds; it is given back with the share.
    class Share final : public ListNode<ResponseMemory>
    {
    public:
        /// Calls \a revoke, which must resize the share to zero, when the memory is needed.
        /// Precondition: \a memory outlives the share.
        Share(ResponseMemory &memory, std::function<void()> revoke);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /// Sets how many bytes the connection holds. May revoke this share and others.
        void resize(std::size_t bytes);

    private:
        friend class ResponseMemory;

        ResponseMemory &m_memory;
        const std::function<void()> m_revoke;
        std::size_t m_bytes = 0;
    };

    static asio::execution_context::id id;

    explicit ResponseMemory(asio::execution_context &context);

    /// Sets the bound in bytes; it holds from the next change of a share on.
    void setLimit(std::size_t bytes) { m_limit = bytes; }
    std::size_t limit() const { return m_limit; }
    /// Bytes that all connections hold.
    std::size_t usedBytes() const { return m_usedBytes; }

private:
    void shutdown() noexcept override {}
    void revokeLargest();

    std::size_t m_limit = 64UL << 20U;
    std::size_t m_usedBytes = 0;
    /// Shares that are not zero.
    IntrusiveList<Share, ResponseMemory> m_shares;
};

} // namespace lycheebay
