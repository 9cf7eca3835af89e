#include "base/cancellation.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

namespace lycheebay {

Cancellation::Cancellation()
    : m_descriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{}

Cancellation::~Cancellation()
{
    if (m_descriptor >= 0)
        close(m_descriptor);
}

void Cancellation::cancel()
{
    m_cancelled = true;
    const std::uint64_t one = 1;
    // The write fails only when the counter is full; the descriptor is readable then anyway.
    if (m_descriptor >= 0)
        (void)!write(m_descriptor, &one, sizeof(one));
}

} // namespace lycheebay
