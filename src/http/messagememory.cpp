#include "http/messagememory.h"

#include <algorithm>
#include <utility>

namespace lycheebay {

namespace {

// Shares below this size are ordinary requests and responses.
constexpr std::size_t kNotableBytes = 64UL << 10U;
// Part of the bound that other messages may hold beside a single large one.
constexpr std::size_t kSingleDivisor = 8;

} // namespace

MessageMemory::MessageMemory(std::size_t limit, SingleMessage single)
    : m_single(single)
    , m_limit(limit)
{}

std::size_t MessageMemory::takePeakBytes()
{
    return std::exchange(m_peakBytes, m_usedBytes);
}

MessageMemory::Share *MessageMemory::shareToRevoke() const
{
    Share *largest = nullptr;
    Share *largestUnused = nullptr;
    for (Share *it = m_shares.front(); it; it = m_shares.next(it)) {
        if (!largest || it->m_bytes > largest->m_bytes)
            largest = it;
        if (!it->m_isInUse && (!largestUnused || it->m_bytes > largestUnused->m_bytes))
            largestUnused = it;
    }
    return largestUnused && largestUnused->m_bytes >= kNotableBytes ? largestUnused : largest;
}

bool MessageMemory::revokeOne()
{
    Share *share = shareToRevoke();
    if (!share)
        return false;
    const std::size_t others = m_usedBytes - share->m_bytes;
    if (m_single == SingleMessage::Kept && others <= m_limit / kSingleDivisor)
        return false;
    const auto revoke = share->m_revoke; // the owner may delete the share
    revoke();
    return true;
}

MessageMemory::Share::Share(MessageMemory &memory, std::function<void()> revoke)
    : m_memory(memory)
    , m_revoke(std::move(revoke))
{}

MessageMemory::Share::~Share()
{
    resize(0);
}

void MessageMemory::Share::resize(std::size_t bytes)
{
    MessageMemory &memory = m_memory;
    memory.m_usedBytes += bytes - m_bytes;
    m_bytes = bytes;
    memory.m_peakBytes = std::max(memory.m_peakBytes, memory.m_usedBytes);
    if (bytes == 0)
        unlink();
    else if (!isLinked())
        memory.m_shares.pushBack(this);
    while (memory.m_usedBytes > memory.m_limit && memory.revokeOne()) {}
}

} // namespace lycheebay
