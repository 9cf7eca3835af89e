#include "membership/membertable.h"

#include "base/hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheebay {

std::vector<MemberUpdate> MemberTable::changesAfter(std::uint64_t &cursor,
                                                    std::size_t maxCount) const
{
    std::vector<const MemberRecord *> newer;
    if (cursor < m_changeSequence) {
        for (const auto &[id, record] : m_records) {
            if (record.changeSequence > cursor)
                newer.push_back(&record);
        }
    }
    std::sort(newer.begin(), newer.end(), [](const MemberRecord *a, const MemberRecord *b) {
        return a->changeSequence < b->changeSequence;
    });
    std::vector<MemberUpdate> result;
    for (std::size_t i = 0; i < std::min(maxCount, newer.size()); ++i) {
        result.push_back(newer[i]->update);
        cursor = newer[i]->changeSequence;
    }
    if (newer.size() <= maxCount)
        cursor = m_changeSequence;
    return result;
}

std::vector<MemberUpdate> MemberTable::membersAfter(std::string &cursor, std::size_t maxCount) const
{
    std::vector<MemberUpdate> result;
    auto it = m_records.upper_bound(cursor);
    for (; it != m_records.end() && result.size() < maxCount; ++it) {
        if (it->second.update.state != MemberState::Dead)
            result.push_back(it->second.update);
    }
    cursor = it == m_records.end() || result.empty() ? std::string()
                                                     : result.back().identity.instanceId;
    return result;
}

std::uint64_t MemberTable::stateHash() const
{
    if (m_hashedVersion == m_tableVersion)
        return m_hash;
    m_hash = 0;
    for (const auto &[id, record] : m_records) {
        const MemberUpdate &update = record.update;
        if (update.state == MemberState::Dead)
            continue;
        m_hash ^= hash64(fmt::format("{}\n{}\n{}\n{}", id, update.identity.incarnation,
                                     static_cast<int>(update.state), update.leaving));
    }
    m_hashedVersion = m_tableVersion;
    return m_hash;
}

} // namespace lycheebay
