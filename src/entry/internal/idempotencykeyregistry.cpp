#include "entry/internal/idempotencykeyregistry.h"

namespace lycheebay {

IdempotencyKeyRegistry::IdempotencyKeyRegistry(const OutcomeLimits &limits,
                                               std::uint64_t incarnation, const IClock &clock)
    : m_clock(clock)
    , m_table(limits, incarnation)
{}

KeyDecision IdempotencyKeyRegistry::begin(const IdempotencyKey &key,
                                          const RequestIdentity &identity, TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        KeyDecision decision = m_table.begin(key, identity, m_clock.now());
        if (decision.state != KeyState::InProgress)
            return decision;
        if (m_completed.wait_until(lock, deadline) == std::cv_status::timeout)
            return m_table.begin(key, identity, m_clock.now());
    }
}

void IdempotencyKeyRegistry::complete(const IdempotencyKey &key, const Outcome &outcome)
{
    {
        const std::lock_guard lock(m_mutex);
        if (const auto *done = std::get_if<Done>(&outcome))
            m_table.completeDone(key.text, done->response);
        else if (std::holds_alternative<NotRun>(outcome))
            m_table.completeNotRun(key.text);
        else
            m_table.completeUnknown(key.text);
    }
    m_completed.notify_all();
}

bool IdempotencyKeyRegistry::isCertainlyNew(const IdempotencyKey &key) const
{
    const std::lock_guard lock(m_mutex);
    return m_table.hasCertainlyNotRun(key, m_clock.now());
}

std::size_t IdempotencyKeyRegistry::entryCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_table.entryCount();
}

std::size_t IdempotencyKeyRegistry::byteCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_table.byteCount();
}

} // namespace lycheebay
