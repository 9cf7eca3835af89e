#pragma once

#include "base/iclock.h"
#include "base/stringmap.h"
#include "entry/blackboard.h"
#include "entry/ipeersharing.h"
#include "transport/peernodetypes.h"

#include <mutex>

namespace lycheebay {

class PeerNode;

/// Carries what the request path shares over the peer links. Thread-safe.
class PeerSharing final : public IPeerSharing
{
public:
    PeerSharing(const Blackboard &board, const IClock &clock);

    /// Precondition: called once, before the node starts; the node is stopped before this object
    /// goes.
    void setNode(PeerNode *node) { m_node = node; }

    /// Called by the peer node.
    void receiveVerdicts(const std::vector<TargetVerdict> &verdicts);
    void receiveSuspects(const std::vector<SharedCrashSuspect> &suspects);

    void publishVerdicts(const CellVerdicts &verdicts) override;
    std::vector<TargetVerdict> latestVerdicts(std::string_view service,
                                              std::string_view region) const override;
    void shareSuspect(const SharedSuspect &suspect) override;
    void setSuspectCallback(SuspectCallback receiver) override;

private:
    struct ReceivedVerdict
    {
        TargetVerdict verdict;
        TimePoint receivedAt;
    };

    const Blackboard &m_board;
    const IClock &m_clock;
    PeerNode *m_node = nullptr;

    mutable std::mutex m_verdictMutex;
    StringMap<ReceivedVerdict> m_verdicts;

    std::mutex m_suspectMutex;
    SuspectCallback m_receiver;
};

} // namespace lycheebay
