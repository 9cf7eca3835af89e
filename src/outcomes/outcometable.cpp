#include "outcomes/outcometable.h"

#include "base/hash.h"
#include "base/invariant.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheebay {

namespace {

/// Estimated memory of an entry in bytes, without its key and response.
constexpr std::size_t kEntryOverheadBytes = 256;
/// Bounds the time that one begin() spends on removing entries after a long idle period.
constexpr int kMaxRemovedPerCall = 64;

std::size_t responseBytes(const HttpResponse &response)
{
    std::size_t bytes = sizeof(HttpResponse) + response.body.size();
    for (const HttpHeader &header : response.headers)
        bytes += sizeof(HttpHeader) + header.name.size() + header.value.size();
    return bytes;
}

} // namespace

RequestIdentity identifyRequest(const HttpRequest &request, std::string_view tenant)
{
    // The lengths make the encoding injective: different requests have different texts.
    const std::string lengths =
            fmt::format("{}:{}:{}:{}\n", request.method.size(), request.target.size(),
                        tenant.size(), request.body.size());
    const auto hash = [&](std::uint64_t seed) {
        return hash64({ lengths, request.method, request.target, tenant, request.body }, seed);
    };
    return { hash(1), hash(2) };
}

struct OutcomeTable::Entry : ListNode<BodyTag>
{
    enum class Phase { Running, Done, Unknown };

    std::string key;
    RequestIdentity identity;
    TimePoint expiry;
    Phase phase = Phase::Running;
    std::shared_ptr<const HttpResponse> response;
};

bool OutcomeTable::ByExpiry::operator()(const Entry *a, const Entry *b) const
{
    return a->expiry != b->expiry ? a->expiry < b->expiry : a < b;
}

OutcomeTable::OutcomeTable(const OutcomeLimits &limits, std::uint64_t incarnation)
    : m_limits(limits)
    , m_incarnation(incarnation)
    , m_entriesWithBody(std::make_unique<IntrusiveList<Entry, BodyTag>>())
{
    LYCHEEBAY_INVARIANT(limits.retention > limits.ticketLife,
                        "the retention of outcomes must exceed the lifetime of tickets");
}

OutcomeTable::~OutcomeTable() = default;

KeyDecision OutcomeTable::begin(const IdempotencyKey &key, const RequestIdentity &identity,
                                TimePoint now)
{
    removeExpired(now);
    if (key.ticket.incarnation != m_incarnation)
        return { KeyState::Unknown, nullptr };
    const auto it = m_entries.find(key.text);
    if (it != m_entries.end())
        return decideExistingKey(*it->second, identity);
    return decideNewKey(key, identity, now - key.ticket.issuedAt);
}

KeyDecision OutcomeTable::decideExistingKey(const Entry &entry,
                                            const RequestIdentity &identity) const
{
    if (entry.identity != identity)
        return { KeyState::Conflict, nullptr };
    if (entry.phase == Entry::Phase::Running)
        return { KeyState::InProgress, nullptr };
    if (entry.phase == Entry::Phase::Unknown)
        return { KeyState::Unknown, nullptr };
    if (!entry.response)
        return { KeyState::DoneWithoutBody, nullptr };
    return { KeyState::Replay, entry.response };
}

KeyDecision OutcomeTable::decideNewKey(const IdempotencyKey &key, const RequestIdentity &identity,
                                       Duration age)
{
    if (age < Duration::zero())
        return { KeyState::Invalid, nullptr };
    if (age >= m_limits.retention)
        return { KeyState::Unknown, nullptr };
    if (age >= m_limits.ticketLife)
        return { KeyState::ExpiredNotRun, nullptr };
    const std::size_t bytes = kEntryOverheadBytes + key.text.size();
    if (m_entries.size() >= m_limits.maxEntries)
        return { KeyState::Full, nullptr };
    evictOldestBodies(bytes);
    if (m_bytes + bytes > m_limits.maxBytes)
        return { KeyState::Full, nullptr };
    auto entry = std::make_unique<Entry>();
    entry->key = key.text;
    entry->identity = identity;
    entry->expiry = key.ticket.issuedAt + m_limits.retention;
    m_byExpiry.insert(entry.get());
    m_entries.emplace(key.text, std::move(entry));
    m_bytes += bytes;
    ++m_running;
    return { KeyState::Run, nullptr };
}

bool OutcomeTable::hasCertainlyNotRun(const IdempotencyKey &key, TimePoint now) const
{
    return key.ticket.incarnation == m_incarnation && now - key.ticket.issuedAt < m_limits.retention
           && !m_entries.contains(key.text);
}

void OutcomeTable::completeDone(std::string_view key, std::shared_ptr<const HttpResponse> response)
{
    Entry *entry = findRunning(key);
    if (!entry)
        return;
    --m_running;
    entry->phase = Entry::Phase::Done;
    const std::size_t bytes = response ? responseBytes(*response) : 0;
    if (bytes == 0 || bytes > m_limits.maxResponseBytes)
        return;
    evictOldestBodies(bytes);
    if (m_bytes + bytes > m_limits.maxBytes)
        return;
    entry->response = std::move(response);
    m_bytes += bytes;
    m_entriesWithBody->pushBack(entry);
}

void OutcomeTable::completeNotRun(std::string_view key)
{
    Entry *entry = findRunning(key);
    if (!entry)
        return;
    --m_running;
    // Without an entry, a repeat runs within the lifetime of the ticket and is "not run"
    // afterwards. Both are correct, because this key did not run.
    m_byExpiry.erase(entry);
    erase(*entry);
}

void OutcomeTable::completeUnknown(std::string_view key)
{
    Entry *entry = findRunning(key);
    if (!entry)
        return;
    --m_running;
    entry->phase = Entry::Phase::Unknown;
}

OutcomeTable::Entry *OutcomeTable::findRunning(std::string_view key)
{
    const auto it = m_entries.find(key);
    const bool found = it != m_entries.end() && it->second->phase == Entry::Phase::Running;
    LYCHEEBAY_INVARIANT(found, "a key that is completed must be running");
    return found ? it->second.get() : nullptr;
}

void OutcomeTable::removeExpired(TimePoint now)
{
    auto it = m_byExpiry.begin();
    for (int i = 0; i < kMaxRemovedPerCall && it != m_byExpiry.end(); ++i) {
        Entry *entry = *it;
        if (now < entry->expiry)
            return;
        if (entry->phase == Entry::Phase::Running) {
            ++it;
            continue;
        }
        it = m_byExpiry.erase(it);
        erase(*entry);
    }
}

void OutcomeTable::evictOldestBodies(std::size_t requiredBytes)
{
    while (m_bytes + requiredBytes > m_limits.maxBytes && !m_entriesWithBody->empty())
        evictBody(*m_entriesWithBody->front());
}

void OutcomeTable::evictBody(Entry &entry)
{
    if (!entry.response)
        return;
    m_bytes -= responseBytes(*entry.response);
    entry.response.reset();
    entry.unlink();
}

void OutcomeTable::erase(Entry &entry)
{
    evictBody(entry);
    m_bytes -= kEntryOverheadBytes + entry.key.size();
    m_entries.erase(m_entries.find(entry.key));
}

} // namespace lycheebay
