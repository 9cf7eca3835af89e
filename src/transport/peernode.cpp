#include "transport/peernode.h"

#include "transport/internal/peernodeimpl.h"

namespace lycheebay {

PeerNode::PeerNode(PeerNodeSettings settings, const IClock &clock, IPeerLinks &links,
                   IConfigurationFollower &follower, ConfigurationLease &lease,
                   PeerNodeCallbacks callbacks)
    : m_impl(std::make_shared<Impl>(std::move(settings), clock, links, follower, lease,
                                    std::move(callbacks)))
{}

PeerNode::~PeerNode()
{
    m_impl->stop();
}

absl::Status PeerNode::start(ITimerService &timers)
{
    return m_impl->start(timers);
}

void PeerNode::stop()
{
    m_impl->stop();
}

void PeerNode::tick()
{
    m_impl->tick();
}

void PeerNode::setConfiguration(const std::vector<RosterMember> &roster, std::uint64_t nextOffset)
{
    m_impl->setConfiguration(roster, nextOffset);
}

void PeerNode::setSeeds(std::vector<Address> addresses)
{
    m_impl->setSeeds(std::move(addresses));
}

void PeerNode::setPlatformLeaving(const StringSet &instanceIds)
{
    m_impl->setPlatformLeaving(instanceIds);
}

void PeerNode::setLeaving(bool leaving)
{
    m_impl->setLeaving(leaving);
}

void PeerNode::shareVerdicts(const std::vector<TargetVerdict> &verdicts)
{
    m_impl->shareVerdicts(verdicts);
}

void PeerNode::shareCrashSuspects(const std::vector<SharedCrashSuspect> &suspects)
{
    m_impl->shareCrashSuspects(suspects);
}

IntrusivePtr<const CellPlan> PeerNode::plan() const
{
    return m_impl->plan();
}

PeerTraffic PeerNode::traffic() const
{
    return m_impl->traffic();
}

std::vector<PeerStatus> PeerNode::peers() const
{
    return m_impl->peers();
}

} // namespace lycheebay
