#include "daemon/peersharing.h"

#include "transport/peernode.h"

#include <algorithm>

namespace lycheebay {

PeerSharing::PeerSharing(const Blackboard &board, const IClock &clock)
    : m_board(board)
    , m_clock(clock)
{}

void PeerSharing::receiveVerdicts(const std::vector<TargetVerdict> &verdicts)
{
    const std::lock_guard lock(m_verdictMutex);
    for (const TargetVerdict &verdict : verdicts) {
        m_verdicts.insert_or_assign(verdict.targetId, ReceivedVerdict{ verdict, m_clock.now() });
    }
}

void PeerSharing::receiveSuspects(const std::vector<SharedCrashSuspect> &suspects)
{
    const std::lock_guard lock(m_suspectMutex);
    if (!m_receiver)
        return;
    for (const SharedCrashSuspect &it : suspects)
        m_receiver({ it.fingerprint, it.crashCount, it.expiresIn, it.homeRegions });
}

void PeerSharing::publishVerdicts(const CellVerdicts &verdicts)
{
    // The node sends only what changed. A target without a verdict is not known yet.
    if (m_node && !verdicts.verdicts.empty())
        m_node->shareVerdicts(verdicts.verdicts);
}

std::vector<TargetVerdict> PeerSharing::latestVerdicts(std::string_view service,
                                                       std::string_view region) const
{
    std::vector<TargetVerdict> result;
    const auto configuration = m_board.configuration.read();
    if (!configuration)
        return result;
    const TimePoint now = m_clock.now();
    const std::lock_guard lock(m_verdictMutex);
    for (const Target *target : configuration->estate()->cellTargets(service, region)) {
        const auto it = m_verdicts.find(target->id);
        if (it == m_verdicts.end())
            continue;
        TargetVerdict verdict = it->second.verdict;
        const Duration elapsed = now - it->second.receivedAt;
        verdict.nextTrialIn = std::max(Duration{}, verdict.nextTrialIn - elapsed);
        result.push_back(verdict);
    }
    return result;
}

void PeerSharing::shareSuspect(const SharedSuspect &suspect)
{
    if (m_node) {
        m_node->shareCrashSuspects(
                { SharedCrashSuspect{ suspect.fingerprint, suspect.crashCount, suspect.remaining,
                                      suspect.homeRegions } });
    }
}

void PeerSharing::setSuspectCallback(SuspectCallback receiver)
{
    const std::lock_guard lock(m_suspectMutex);
    m_receiver = std::move(receiver);
}

} // namespace lycheebay
