#include "transport/internal/configurationrelay.h"

#include <algorithm>

namespace lycheebay {

namespace {

constexpr std::uint64_t kMaxPushedRecords = 256;
// Peers normally push new records at once, so a record known only from a heartbeat is requested
// after this delay.
constexpr Duration kPushWait = std::chrono::milliseconds(300);
constexpr Duration kRequestTimeout = std::chrono::seconds(2);

} // namespace

void ConfigurationRelay::advancePeerOffset(LinkId link, std::uint64_t nextOffset)
{
    std::uint64_t &peerOffset = m_peerOffsets[link];
    peerOffset = std::max(peerOffset, nextOffset);
}

std::vector<ConfigurationRelay::Push> ConfigurationRelay::takeDuePushes(std::uint64_t ownOffset)
{
    std::vector<Push> pushes;
    for (auto &[link, peerOffset] : m_peerOffsets) {
        if (peerOffset >= ownOffset || ownOffset - peerOffset > kMaxPushedRecords)
            continue;
        pushes.push_back({ link, peerOffset });
        peerOffset = ownOffset;
    }
    return pushes;
}

std::optional<LinkId> ConfigurationRelay::takeDueRequest(std::uint64_t ownOffset, TimePoint now)
{
    std::vector<LinkId> linksAhead;
    for (const auto &[link, peerOffset] : m_peerOffsets) {
        if (peerOffset > ownOffset)
            linksAhead.push_back(link);
    }
    if (linksAhead.empty()) {
        m_behindSince.reset();
        m_requestedAt.reset();
        return std::nullopt;
    }
    if (!m_behindSince)
        m_behindSince = now;
    const bool awaitsPush = ownOffset != 0 && now - *m_behindSince < kPushWait;
    // After an answer that advanced the own offset, the next request follows at once.
    const bool awaitsAnswer = m_requestedAt && now - *m_requestedAt < kRequestTimeout
                              && m_requestedOffset == ownOffset;
    if (awaitsPush || awaitsAnswer)
        return std::nullopt;
    const auto it = std::upper_bound(linksAhead.begin(), linksAhead.end(), m_lastAsked);
    m_lastAsked = it == linksAhead.end() ? linksAhead.front() : *it;
    m_requestedAt = now;
    m_requestedOffset = ownOffset;
    return m_lastAsked;
}

} // namespace lycheebay
