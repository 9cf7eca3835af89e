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
    /// Keys, bookkeeping and stored responses together.
    std::size_t maxBytes = 64u << 20;
    /// A larger response is remembered as done, without its body.
    std::size_t maxResponseBytes = 256u << 10;
    Duration ticketLife = std::chrono::seconds(60);
    /// Counted from the ticket's issue, like its life.
    Duration retention = std::chrono::minutes(10);
};

/// 128 bits that stand for method, path, query, tenant and body of a request.
struct RequestIdentity
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RequestIdentity &) const = default;
};

/// Two requests with the same identity are taken for the same. Thread-safe.
RequestIdentity identifyRequest(const HttpRequest &request, std::string_view tenant);

enum class KeyState {
    Run,    ///< new: the caller of begin() runs it and must call one of the complete methods
    Replay, ///< done; the response is attached
    DoneWithoutBody, ///< done, but the response was not kept
    Wait,            ///< runs now; ask again when it is completed
    Conflict,        ///< the key was used with another request
    ExpiredNotRun,   ///< its ticket is past its life, and it certainly did not run
    Unknown,         ///< it may have run
    Full,            ///< not run: the table has no room
    Invalid          ///< the ticket is from the future, so this incarnation did not issue it
};

struct KeyDecision
{
    KeyState state = KeyState::Unknown;
    /// Set only for Replay.
    std::shared_ptr<const HttpResponse> response;
};

/// Remembers what became of each key of this incarnation, so that each runs at most once.
///
/// A key that may have been forgotten never runs: entries are kept for the retention of their
/// ticket, and a key that is not in the table runs only within the life of its ticket, which is
/// shorter. Pure and not thread-safe. `now` never goes backwards.
class OutcomeTable
{
public:
    OutcomeTable(const OutcomeLimits &limits, std::uint64_t incarnation);
    ~OutcomeTable();
    OutcomeTable(const OutcomeTable &) = delete;
    OutcomeTable &operator=(const OutcomeTable &) = delete;

    KeyDecision begin(const IdempotencyKey &key, const RequestIdentity &identity, TimePoint now);

    /// Tells whether the key certainly did not run: this incarnation issued its ticket, its entry
    /// would still be held, and there is none.
    bool isCertainlyNew(const IdempotencyKey &key, TimePoint now) const;

    /// Precondition of the three: begin() returned Run for \a key and none of them was called
    /// since.
    void completeDone(std::string_view key, std::shared_ptr<const HttpResponse> response);
    /// The key may run again while its ticket lives.
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

    KeyDecision decideKnown(const Entry &entry, const RequestIdentity &identity) const;
    KeyDecision decideNew(const IdempotencyKey &key, const RequestIdentity &identity, Duration age);
    void forgetExpired(TimePoint now);
    void dropOldestBodies(std::size_t room);
    void dropBody(Entry &entry);
    Entry *running(std::string_view key);
    void erase(Entry &entry);

    const OutcomeLimits m_limits;
    const std::uint64_t m_incarnation;
    StringMap<std::unique_ptr<Entry>> m_entries;
    std::set<Entry *, ByExpiry> m_byExpiry;
    std::unique_ptr<IntrusiveList<Entry, BodyTag>> m_withBody;
    std::size_t m_bytes = 0;
    std::size_t m_running = 0;
};

} // namespace lycheebay
