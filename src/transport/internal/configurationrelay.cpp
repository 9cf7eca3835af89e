#include "transport/internal/configurationrelay.h"

#include <algorithm>

namespace lycheebay {

namespace {

constexpr std::uint64_t kMaxPushedRecords = 256;
// Records are normally pushed at once; one that is only announced gets this long to arrive.
constexpr Duration kPushGrace = std::chrono::milliseconds(300);
constexpr Duration kRequestTimeout = std::chrono::seconds(2);

} // namespace

void ConfigurationRelay::peerHolds(LinkId link, std::uint64_t nextOffset)
{
    std::uint64_t &known = m_links[link];
    known = std::max(known, nextOffset);
}

std::vector<ConfigurationRelay::Push> ConfigurationRelay::takePushes(std::uint64_t ownOffset)
{
    std::vector<Push> pushes;
    for (auto &[link, known] : m_links) {
        if (known >= ownOffset || ownOffset - known > kMaxPushedRecords)
            continue;
        pushes.push_back({ link, known });
        known = ownOffset;
    }
    return pushes;
}

std::optional<LinkId> ConfigurationRelay::takeRequest(std::uint64_t ownOffset, TimePoint now)
{
    std::vector<LinkId> ahead;
    for (const auto &[link, known] : m_links) {
        if (known > ownOffset)
            ahead.push_back(link);
    }
    if (ahead.empty()) {
        m_behindSince.reset();
        m_requestedAt.reset();
        return std::nullopt;
    }
    if (!m_behindSince)
        m_behindSince = now;
    const bool waitsForPush = ownOffset != 0 && now - *m_behindSince < kPushGrace;
    // An answer that moved this instance on is followed by the next request at once.
    const bool waitsForAnswer =
            m_requestedAt && now - *m_requestedAt < kRequestTimeout && m_requestedFrom == ownOffset;
    if (waitsForPush || waitsForAnswer)
        return std::nullopt;
    const auto it = std::upper_bound(ahead.begin(), ahead.end(), m_lastAsked);
    m_lastAsked = it == ahead.end() ? ahead.front() : *it;
    m_requestedAt = now;
    m_requestedFrom = ownOffset;
    return m_lastAsked;
}

} // namespace lycheebay
