#include "http/responsememory.h"

namespace lycheebay {

asio::execution_context::id ResponseMemory::id;

ResponseMemory::ResponseMemory(asio::execution_context &context)
    : asio::execution_context::service(context)
{}

void ResponseMemory::revokeLargest()
{
    Share *largest = m_shares.front();
    for (Share *it = largest; it; it = m_shares.next(it)) {
        if (it->m_bytes > largest->m_bytes)
            largest = it;
    }
    if (largest)
        largest->m_revoke();
}

ResponseMemory::Share::Share(ResponseMemory &memory, std::function<void()> revoke)
    : m_memory(memory)
    , m_revoke(std::move(revoke))
{}

ResponseMemory::Share::~Share()
{
    resize(0);
}

void ResponseMemory::Share::resize(std::size_t bytes)
{
    m_memory.m_usedBytes += bytes - m_bytes;
    m_bytes = bytes;
    if (bytes == 0)
        unlink();
    else if (!isLinked())
        m_memory.m_shares.pushBack(this);
    while (m_memory.m_usedBytes > m_memory.m_limit)
        m_memory.revokeLargest();
}

} // namespace lycheebay
