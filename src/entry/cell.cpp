#include "entry/cell.h"

namespace lycheebay {

namespace {

/// Half of the period that CellDispatcher::tick() asks for.
constexpr std::chrono::milliseconds kTickPeriod{ 5 };
/// Time after its deadline in which the dispatcher may shed a request; after it the waiting thread
/// gives up by itself.
constexpr std::chrono::milliseconds kDeadlineGrace{ 20 };

} // namespace

Cell::Cell(const DispatcherSettings &settings, std::uint64_t seed, const IClock &clock)
    : m_clock(clock)
    , m_dispatcher(settings, seed)
{}

DispatchResult Cell::submit(RequestId request, const RequestTraits &traits,
                            const IsAbandoned &isAbandoned)
{
    std::unique_lock lock(m_mutex);
    const Decision decision = m_dispatcher.submit(request, traits, m_clock.now());
    return waitForResult(lock, request, decision, traits, isAbandoned);
}

DispatchResult Cell::retry(RequestId request, const RequestTraits &traits,
                           const IsAbandoned &isAbandoned)
{
    std::unique_lock lock(m_mutex);
    const Decision decision = m_dispatcher.retry(request, m_clock.now());
    return waitForResult(lock, request, decision, traits, isAbandoned);
}

DispatchResult Cell::waitForResult(std::unique_lock<std::mutex> &lock, RequestId request,
                                   const Decision &decision, const RequestTraits &traits,
                                   const IsAbandoned &isAbandoned)
{
    if (const auto *assignment = std::get_if<Assignment>(&decision))
        return *assignment;
    if (const auto *shed = std::get_if<Shed>(&decision))
        return *shed;
    Waiter waiter;
    m_waiters.emplace(request, &waiter);
    while (!waiter.result) {
        waiter.decided.wait_for(lock, kTickPeriod);
        if (waiter.result)
            break;
        tick();
        if (waiter.result)
            break;
        if (m_clock.now() > traits.deadline + kDeadlineGrace) {
            waiter.result = Shed{ request, ShedReason::DeadlineExceeded, {} };
        } else {
            lock.unlock();
            const bool abandoned = isAbandoned && isAbandoned();
            lock.lock();
            if (abandoned && !waiter.result)
                waiter.result = Shed{ request, ShedReason::Closed, {} };
        }
    }
    m_waiters.erase(request);
    return *waiter.result;
}

void Cell::tick()
{
    const TimePoint now = m_clock.now();
    // Every waiting thread calls this, but the dispatcher needs only one call per period.
    if (now < m_lastTick + kTickPeriod)
        return;
    m_lastTick = now;
    deliver(m_dispatcher.tick(now));
}

void Cell::deliver(const std::vector<Resolution> &resolutions)
{
    for (const Resolution &resolution : resolutions) {
        const RequestId request =
                std::visit([](const auto &decided) { return decided.request; }, resolution);
        const auto it = m_waiters.find(request);
        if (it != m_waiters.end()) {
            it->second->result = resolution;
            it->second->decided.notify_one();
        }
    }
}

std::optional<Assignment> Cell::hedge(RequestId request)
{
    const std::lock_guard lock(m_mutex);
    return m_dispatcher.hedge(request, m_clock.now());
}

Duration Cell::hedgeDelay() const
{
    const std::lock_guard lock(m_mutex);
    return m_dispatcher.hedgeDelay();
}

void Cell::complete(AttemptId attempt, const AttemptResult &result)
{
    const std::lock_guard lock(m_mutex);
    deliver(m_dispatcher.complete(attempt, result, m_clock.now()));
}

void Cell::finish(RequestId request)
{
    const std::lock_guard lock(m_mutex);
    m_dispatcher.finish(request);
}

void Cell::updateTargets(const std::vector<TargetSpec> &targets)
{
    const std::lock_guard lock(m_mutex);
    deliver(m_dispatcher.updateTargets(targets, m_clock.now()));
}

void Cell::setRole(DispatchRole role, TimePoint coldAllowedFrom)
{
    const std::lock_guard lock(m_mutex);
    m_role = role;
    deliver(m_dispatcher.setRole(role, coldAllowedFrom, m_clock.now()));
}

std::vector<Probe> Cell::dueProbes()
{
    if (m_role != DispatchRole::Owner)
        return {};
    const std::lock_guard lock(m_mutex);
    return m_dispatcher.dueProbes(m_clock.now());
}

void Cell::completeProbe(std::string_view targetId, const std::optional<LoadReport> &load)
{
    const std::lock_guard lock(m_mutex);
    deliver(m_dispatcher.completeProbe(targetId, load, m_clock.now()));
}

std::vector<TargetVerdict> Cell::verdicts() const
{
    const std::lock_guard lock(m_mutex);
    return m_dispatcher.verdicts(m_clock.now());
}

void Cell::adoptVerdicts(const std::vector<TargetVerdict> &verdicts)
{
    const std::lock_guard lock(m_mutex);
    for (const TargetVerdict &verdict : verdicts)
        m_dispatcher.adoptVerdict(verdict, m_clock.now());
}

std::vector<TargetStatus> Cell::status() const
{
    const std::lock_guard lock(m_mutex);
    return m_dispatcher.status(m_clock.now());
}

std::size_t Cell::queuedCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_dispatcher.queuedCount();
}

} // namespace lycheebay
