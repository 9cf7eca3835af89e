#include "routing/celldispatcher.h"

#include "routing/internal/cellcore.h"
#include "routing/internal/statusreport.h"

namespace lycheebay {

class CellDispatcher::Private : public CellCore
{
public:
    using CellCore::CellCore;
};

CellDispatcher::CellDispatcher(DispatcherSettings settings, std::uint64_t seed)
    : m_private(std::make_unique<Private>(settings, seed))
{}

CellDispatcher::~CellDispatcher() = default;

std::vector<Resolution> CellDispatcher::updateTargets(const std::vector<TargetSpec> &targets,
                                                      TimePoint now)
{
    return m_private->updateTargets(targets, now);
}

std::vector<Resolution> CellDispatcher::setRole(DispatchRole role, TimePoint coldAllowedFrom,
                                                TimePoint now)
{
    return m_private->setRole(role, coldAllowedFrom, now);
}

Decision CellDispatcher::submit(RequestId request, const RequestTraits &traits, TimePoint now)
{
    return m_private->submit(request, traits, now);
}

Decision CellDispatcher::retry(RequestId request, TimePoint now)
{
    return m_private->retry(request, now);
}

std::optional<Assignment> CellDispatcher::hedge(RequestId request, TimePoint now)
{
    return m_private->hedge(request, now);
}

Duration CellDispatcher::hedgeDelay() const
{
    return m_private->hedgeDelay();
}

std::vector<Resolution> CellDispatcher::complete(AttemptId attempt, const AttemptResult &result,
                                                 TimePoint now)
{
    return m_private->complete(attempt, result, now);
}

void CellDispatcher::finish(RequestId request)
{
    m_private->finish(request);
}

std::vector<Resolution> CellDispatcher::tick(TimePoint now)
{
    return m_private->tick(now);
}

std::vector<Probe> CellDispatcher::dueProbes(TimePoint now)
{
    return m_private->dueProbes(now);
}

std::vector<Resolution> CellDispatcher::completeProbe(std::string_view targetId,
                                                      const std::optional<LoadReport> &load,
                                                      TimePoint now)
{
    return m_private->completeProbe(targetId, load, now);
}

std::vector<TargetVerdict> CellDispatcher::verdicts(TimePoint now) const
{
    return verdictsOf(m_private->targets(), now);
}

void CellDispatcher::adoptVerdict(const TargetVerdict &verdict, TimePoint now)
{
    m_private->adoptVerdict(verdict, now);
}

std::vector<TargetStatus> CellDispatcher::status(TimePoint now) const
{
    return statusOf(m_private->targets(), m_private->latencies().mean(), now);
}

std::size_t CellDispatcher::queuedCount() const
{
    return m_private->queuedCount();
}

} // namespace lycheebay
