#pragma once

#include "outcomes/outcometable.h"

#include <condition_variable>
#include <mutex>

namespace lycheebay {

/// An OutcomeTable that request threads share. Thread-safe.
class KeyRegister
{
public:
    KeyRegister(const OutcomeLimits &limits, std::uint64_t incarnation, const IClock &clock);

    /// As OutcomeTable::begin(), but waits for a running request of the same key until
    /// \a deadline. Returns InProgress only when that passed.
    KeyDecision begin(const IdempotencyKey &key, const RequestIdentity &identity,
                      TimePoint deadline);
    /// Precondition: begin() returned Run.
    void complete(const IdempotencyKey &key, const Outcome &outcome);

    /// As OutcomeTable::hasCertainlyNotRun().
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
