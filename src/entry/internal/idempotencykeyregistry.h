#pragma once

#include "outcomes/outcometable.h"

#include <condition_variable>
#include <mutex>

namespace lycheebay {

/// Thread-safe wrapper of an OutcomeTable that also waits for running requests.
class IdempotencyKeyRegistry
{
public:
    IdempotencyKeyRegistry(const OutcomeLimits &limits, std::uint64_t incarnation,
                           const IClock &clock);

    /// Like OutcomeTable::begin(), but waits until \a deadline for a running request with the same
    /// key. Returns InProgress only if that request is still running at the deadline.
    KeyDecision begin(const IdempotencyKey &key, const RequestIdentity &identity,
                      TimePoint deadline);
    /// Precondition: begin() returned Run.
    void complete(const IdempotencyKey &key, const Outcome &outcome);

    /// Like OutcomeTable::hasCertainlyNotRun().
    bool isCertainlyNew(const IdempotencyKey &key) const;

    std::size_t entryCount() const;
    std::size_t byteCount() const;

private:
    const IClock &m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_completed;
    OutcomeTable m_table;
};

} // namespace lycheebay
