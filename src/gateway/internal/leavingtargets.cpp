#include "gateway/internal/leavingtargets.h"

#include "gateway/servicepool.h"

#include <algorithm>

namespace lycheebay {

namespace {

// A registration that lapsed may return after this time at most.
constexpr Duration kRetention = std::chrono::minutes(10);
constexpr std::size_t kMaxTargets = 10'000;

} // namespace

LeavingTargets::LeavingTargets(const IClock &clock, GatewayBlackboard &blackboard, DecisionLog &log,
                               std::function<void()> changed)
    : m_clock(clock)
    , m_blackboard(blackboard)
    , m_log(log)
    , m_changed(std::move(changed))
{
    m_blackboard.peerReports.subscribe([this](const IntrusivePtr<const InstanceReport> &report) {
        bool isNew = false;
        for (const std::string &it : report->leavingTargets)
            isNew = add(it) || isNew;
        if (isNew)
            m_changed();
    });
}

bool LeavingTargets::add(const std::string &key)
{
    if (m_targets.size() >= kMaxTargets && !m_targets.contains(key))
        return false;
    return m_targets.insert_or_assign(key, m_clock.now()).second;
}

void LeavingTargets::record(const std::string &key)
{
    if (!add(key))
        return;
    LogFields fields("target_leaving");
    fields.add("target", key);
    m_log.write(fields);
    auto report = makeRef<InstanceReport>();
    report->leavingTargets = { key };
    m_blackboard.reports.publish(IntrusivePtr<const InstanceReport>(report));
    m_changed();
}

IntrusivePtr<const TargetList> LeavingTargets::apply(const IntrusivePtr<const TargetList> &list)
{
    if (m_targets.empty() || !list)
        return list;
    auto marked = makeRef<TargetList>();
    marked->targets = list->targets;
    const TimePoint now = m_clock.now();
    for (TargetRecord &it : marked->targets) {
        const auto known = m_targets.find(targetKey(it));
        if (known == m_targets.end())
            continue;
        known->second = now;
        it.leaving = true;
    }
    std::erase_if(m_targets, [now](const auto &it) { return now - it.second > kRetention; });
    return IntrusivePtr<const TargetList>(marked);
}

} // namespace lycheebay
