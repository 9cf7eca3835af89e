#pragma once

#include "base/intrusivelist.h"

#include <cstddef>
#include <functional>

namespace lycheebay {

/// Bounds the memory that messages hold together. The bound of a single message is not enough: many
/// peers may send large ones at once. Above the bound, the shares that hold the most are revoked,
/// so that those of ordinary messages stay. Not thread-safe.
class MessageMemory
{
public:
    /// Whether one message that is larger than the bound is kept while it is almost the only one.
    enum class SingleMessage { Revoked, Kept };

    /// The memory that one message holds; it is given back with the share.
    class Share final : public ListNode<MessageMemory>
    {
    public:
        /// Calls \a revoke, which must resize the share to zero, when the memory is needed.
        /// Precondition: \a memory outlives the share.
        Share(MessageMemory &memory, std::function<void()> revoke);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /// Sets how many bytes the message holds. May revoke this share, which its owner may delete
        /// then, and others.
        void resize(std::size_t bytes);
        /// Makes the memory revoke this share after all others of notable size: work has begun that
        /// a revocation wastes.
        void setInUse() { m_isInUse = true; }

    private:
        friend class MessageMemory;

        MessageMemory &m_memory;
        const std::function<void()> m_revoke;
        std::size_t m_bytes = 0;
        bool m_isInUse = false;
    };

    MessageMemory(std::size_t limit, SingleMessage single);
    MessageMemory(const MessageMemory &) = delete;
    MessageMemory &operator=(const MessageMemory &) = delete;

    /// Sets the bound in bytes; it holds from the next change of a share on.
    void setLimit(std::size_t bytes) { m_limit = bytes; }
    std::size_t limit() const { return m_limit; }
    /// Bytes that all shares hold.
    std::size_t usedBytes() const { return m_usedBytes; }
    /// Returns the largest usedBytes() since the last call.
    std::size_t takePeakBytes();

protected:
    ~MessageMemory() = default;

private:
    /// Revokes one share; returns false if none may be revoked.
    bool revokeOne();
    Share *shareToRevoke() const;

    const SingleMessage m_single;
    std::size_t m_limit;
    std::size_t m_usedBytes = 0;
    std::size_t m_peakBytes = 0;
    /// Shares that are not zero.
    IntrusiveList<Share, MessageMemory> m_shares;
};

} // namespace lycheebay
