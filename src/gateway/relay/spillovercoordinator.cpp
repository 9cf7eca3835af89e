#include "gateway/relay/spillovercoordinator.h"

#include "base/log.h"

namespace lycheebay {

namespace {

constexpr Duration kUpdatePeriod = std::chrono::milliseconds(250);

} // namespace

SpilloverCoordinator::SpilloverCoordinator(ITimerService &timers, const IClock &clock,
                                           GatewayBlackboard &blackboard, Callbacks callbacks)
    : m_clock(clock)
    , m_blackboard(blackboard)
    , m_logger(componentLogger("estate"))
    , m_callbacks(std::move(callbacks))
{
    m_blackboard.overflow.subscribe([this](const IntrusivePtr<const OverflowCounts> &it) {
        if (m_isReader)
            addCounts(*it);
        else
            m_callbacks.sendToReader(*it);
    });
    m_timer = timers.every(kUpdatePeriod, [this] {
        if (!m_isReader || !m_spillover.update(m_clock.now()))
            return;
        publish(m_spillover.shares());
        m_callbacks.sendToFollowers();
    });
}

void SpilloverCoordinator::setReader(bool isReader)
{
    if (isReader && !m_isReader) {
        m_spillover = RegionSpillover();
        if (const auto current = m_blackboard.localShares.read())
            m_spillover.restore(*current, m_clock.now());
    }
    m_isReader = isReader;
}

void SpilloverCoordinator::addCounts(const OverflowCounts &counts)
{
    if (m_isReader)
        m_spillover.add(counts, m_clock.now());
}

void SpilloverCoordinator::adoptShares(const std::vector<LocalShare> &shares)
{
    LocalShares adopted;
    adopted.shares = shares;
    publish(adopted);
}

void SpilloverCoordinator::publish(const LocalShares &shares)
{
    const auto current = m_blackboard.localShares.read();
    if (current ? *current == shares : shares.shares.empty())
        return;
    for (const LocalShare &it : shares.shares) {
        LOG4CPLUS_INFO(m_logger, "event=local_share_changed home_region=" << it.homeRegion
                                                                          << " share=" << it.share);
    }
    if (shares.shares.empty())
        LOG4CPLUS_INFO(m_logger, "event=local_share_changed home_region=- share=0");
    auto list = makeRef<LocalShares>();
    list->shares = shares.shares;
    m_blackboard.localShares.publish(IntrusivePtr<const LocalShares>(list));
}

} // namespace lycheebay
