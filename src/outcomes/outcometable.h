#pragma once

#include "base/iclock.h"
#include "base/intrusivelist.h"
#include "base/stringmap.h"
#include "outcomes/outcome.h"
#include "outcomes/ticket.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string_view>

namespace lycheebay {

struct OutcomeLimits
{
    std::size_t maxEntries = 200'000;
    /// Estimated memory of keys, entries and stored responses together.
    std::size_t maxBytes = 64u << 20;
    /// A larger response is not stored; its key is kept as DoneWithoutBody.
    std::size_t maxResponseBytes = 256u << 10;
    /// A key may begin to run within this time after its ticket was issued.
    Duration ticketLife = std::chrono::seconds(60);
    /// Entries are kept for this time after the ticket was issued.
    Duration retention = std::chrono::minutes(10);
};

/// 128-bit hash of method, path, query, tenant and body of a request.
struct RequestIdentity
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RequestIdentity &) const = default;
};

/// Requests with the same identity are treated as equal. Thread-safe.
RequestIdentity identifyRequest(const HttpRequest &request, std::string_view tenant);

enum class KeyState {
    Run,    ///< new: the caller of begin() runs it and must call one of the complete methods
    Replay, ///< completed; KeyDecision::response holds the response
    DoneWithoutBody, ///< completed, but the response is not stored
    InProgress,      ///< running; call begin() again when it is completed
    Conflict,        ///< the key was used with a different request
    ExpiredNotRun,   ///< not run, and its ticket has expired
    Unknown,         ///< it may have run
    Full,            ///< not run: the limits of the table are reached
    Invalid ///< the ticket's issue time is in the future, so this incarnation did not issue it
};

struct KeyDecision
{
    KeyState state = KeyState::Unknown;
    /// Null except for Replay.
    std::shared_ptr<const HttpResponse> response;
};

/// Stores the outcome of each idempotency key of this incarnation, so that each key runs at most
/// once.
///
/// A key whose entry may have been removed never runs: entries are kept for the retention time, and
/// a key that is not in the table runs only within the lifetime of its ticket, which is shorter.
/// Performs no I/O and reads no clock; not thread-safe. `now` must not decrease between calls.
class OutcomeTable
{
public:
    OutcomeTable(const OutcomeLimits &limits, std::uint64_t incarnation);
    ~OutcomeTable();
    OutcomeTable(const OutcomeTable &) = delete;
    OutcomeTable &operator=(const OutcomeTable &) = delete;

    /// Decides what to do with a request, and adds its key to the table when the decision is Run.
    KeyDecision begin(const IdempotencyKey &key, const RequestIdentity &identity, TimePoint now);

    /// Returns true only when the key has certainly not run: this incarnation issued its ticket,
    /// the retention time has not passed, and there is no entry.
    bool hasCertainlyNotRun(const IdempotencyKey &key, TimePoint now) const;

    /// Precondition of the three complete methods: begin() returned Run for \a key, and none of
    /// them was called since then.
    void completeDone(std::string_view key, std::shared_ptr<const HttpResponse> response);
    /// Removes the key, which may run again within the lifetime of its ticket.
    void completeNotRun(std::string_view key);
    void completeUnknown(std::string_view key);

    std::size_t entryCount() const { return m_entries.size(); }
    std::size_t byteCount() const { return m_bytes; }
    std::size_t runningCount() const { return m_running; }

private:
    struct Entry;
    struct ByExpiry
    {
        bool operator()(const Entry *a, const Entry *b) const;
    };
    struct BodyTag;

    KeyDecision decideExistingKey(const Entry &entry, const RequestIdentity &identity) const;
    KeyDecision decideNewKey(const IdempotencyKey &key, const RequestIdentity &identity,
                             Duration age);
    void removeExpired(TimePoint now);
    void evictOldestBodies(std::size_t requiredBytes);
    void evictBody(Entry &entry);
    Entry *findRunning(std::string_view key);
    void erase(Entry &entry);

    const OutcomeLimits m_limits;
    const std::uint64_t m_incarnation;
    StringMap<std::unique_ptr<Entry>> m_entries;
    std::set<Entry *, ByExpiry> m_byExpiry;
    std::unique_ptr<IntrusiveList<Entry, BodyTag>> m_entriesWithBody;
    std::size_t m_bytes = 0;
    std::size_t m_running = 0;
};

} // namespace lycheebay
