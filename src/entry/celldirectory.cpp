#include "entry/celldirectory.h"

#include "base/hash.h"
#include "entry/internal/scheduledthreadpool.h"
#include "transport/loadheader.h"
#include "transport/targetclient.h"

#include <algorithm>

namespace lycheebay {

namespace {

constexpr std::chrono::milliseconds kRefreshPeriod{ 100 };
/// Idle connections to targets are closed once a second.
constexpr int kTicksPerIdleClose = 10;

/// Ignores the time to the next trial, which changes with every call.
bool equalIgnoringNextTrial(std::vector<TargetVerdict> a, std::vector<TargetVerdict> b)
{
    for (auto *verdicts : { &a, &b }) {
        for (TargetVerdict &verdict : *verdicts)
            verdict.nextTrialIn = {};
    }
    return a == b;
}

StringSet leavingInstanceIds(const PlatformView *view)
{
    StringSet ids;
    if (!view)
        return ids;
    for (const PlatformInstance &instance : view->instances()) {
        if (instance.state == InstanceState::Leaving)
            ids.insert(instance.id);
    }
    return ids;
}

} // namespace

CellDirectory::CellDirectory(Blackboard &board, const EntrySettings &settings, const IClock &clock,
                             IPeerSharing &sharing, TargetClient &client)
    : m_board(board)
    , m_settings(settings)
    , m_clock(clock)
    , m_sharing(sharing)
    , m_client(client)
    , m_workers(std::make_unique<ScheduledThreadPool>(settings.workers))
{}

CellDirectory::~CellDirectory()
{
    m_timer.reset();
    const std::lock_guard lock(m_callbackGuard->mutex);
    m_callbackGuard->directory = nullptr;
}

void CellDirectory::start(ITimerService &timers)
{
    m_callbackGuard->directory = this;
    const auto onChange = [guard = m_callbackGuard](const auto &) {
        const std::lock_guard lock(guard->mutex);
        if (guard->directory)
            guard->directory->refresh();
    };
    m_board.configuration.subscribe(onChange);
    m_board.plan.subscribe(onChange);
    m_board.platform.subscribe(onChange);
    refresh();
    m_timer = timers.every(kRefreshPeriod, [guard = m_callbackGuard] {
        const std::lock_guard lock(guard->mutex);
        if (guard->directory)
            guard->directory->onTimer();
    });
}

std::shared_ptr<Cell> CellDirectory::find(std::string_view service) const
{
    const auto map = m_cells.read();
    if (!map)
        return nullptr;
    const auto it = map->cells.find(service);
    return it == map->cells.end() ? nullptr : it->second;
}

std::map<std::string, std::shared_ptr<Cell>> CellDirectory::cells() const
{
    const auto map = m_cells.read();
    if (!map)
        return {};
    return { map->cells.begin(), map->cells.end() };
}

bool CellDirectory::isHandoverComplete() const
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    return std::all_of(m_records.begin(), m_records.end(), [&](const auto &it) {
        return it.second.role != DispatchRole::Owner || now >= it.second.coldAllowedFrom;
    });
}

void CellDirectory::onTimer()
{
    refresh();
    startProbes();
    // Published on every tick, so that a new owner knows which targets became cold shortly before
    // it took over.
    publishVerdicts();
    if (++m_timerTicks % kTicksPerIdleClose == 0)
        m_client.closeIdle();
}

void CellDirectory::refresh()
{
    const std::lock_guard lock(m_mutex);
    const auto configuration = m_board.configuration.read();
    const auto plan = m_board.plan.read();
    const auto platform = m_board.platform.read();
    if (!configuration || !plan || isCurrent(configuration, plan, platform))
        return;
    const StringSet leaving = leavingInstanceIds(platform.get());
    bool changed = dropRemovedServices(*configuration->estate());
    for (const std::string &service : configuration->estate()->data().services)
        changed = refreshService(service, *configuration, *plan, leaving) || changed;
    if (changed)
        publishCells();
}

/// Stores the inputs and returns whether a refresh with them would change nothing. Refreshing 2,700
/// services every 100 ms would exceed the CPU budget for control work.
bool CellDirectory::isCurrent(const Topic<ConfigurationState>::Value &configuration,
                              const Topic<CellPlan>::Value &plan,
                              const Topic<PlatformView>::Value &platform)
{
    const bool sameInputs =
            configuration == m_configuration && plan == m_plan && platform == m_platform;
    m_configuration = configuration;
    m_plan = plan;
    m_platform = platform;
    // Planned stops begin and end without a change.
    return sameInputs && configuration->estate()->data().plannedStops.empty();
}

bool CellDirectory::refreshService(const std::string &service,
                                   const ConfigurationState &configuration, const CellPlan &plan,
                                   const StringSet &leaving)
{
    std::vector<TargetSpec> targets = targetSpecs(service, *configuration.estate(), leaving);
    auto it = m_records.find(service);
    const bool isNew = it == m_records.end();
    if (isNew) {
        if (targets.empty())
            return false;
        it = m_records.emplace(service, CellRecord{}).first;
        const std::uint64_t seed = hash64(service, m_settings.seed);
        it->second.cell = std::make_shared<Cell>(m_settings.dispatcher, seed, m_clock);
    }
    CellRecord &record = it->second;
    // Set the role before the targets: otherwise a new cell could send requests to cold targets
    // before the handover wait is over.
    setRole(service, record, plan);
    if (record.targets != targets) {
        record.cell->updateTargets(targets);
        record.targets = std::move(targets);
    }
    if (isNew)
        record.cell->adoptVerdicts(m_sharing.latestVerdicts(service, m_settings.self.region));
    return isNew;
}

std::vector<TargetSpec> CellDirectory::targetSpecs(const std::string &service, const Estate &estate,
                                                   const StringSet &leaving) const
{
    const WallTime now = m_clock.wallNow();
    std::vector<TargetSpec> specs;
    for (const Target *target : estate.cellTargets(service, m_settings.self.region)) {
        // A request sent just before the drain may run until the longest deadline.
        const bool accepts = estate.acceptsWork(*target, now, m_settings.maxDeadline)
                             && !leaving.contains(target->id);
        specs.push_back({ target->id, target->address, target->slots, target->coldLimit, accepts });
    }
    return specs;
}

void CellDirectory::setRole(const std::string &service, CellRecord &record, const CellPlan &plan)
{
    const Member *dispatcher = plan.dispatcher(service, m_settings.self.region);
    const bool owns = dispatcher && dispatcher->identity.incarnation == m_settings.self.incarnation;
    const DispatchRole role = owns ? DispatchRole::Owner : DispatchRole::Fallback;
    if (record.role == role)
        return;
    const bool hadCell = record.role.has_value();
    record.role = role;
    // A former owner, even an earlier incarnation of this instance, may still send requests.
    record.coldAllowedFrom = m_clock.now() + m_settings.handoverWait;
    record.cell->setRole(role, record.coldAllowedFrom);
    if (owns && hadCell)
        record.cell->adoptVerdicts(m_sharing.latestVerdicts(service, m_settings.self.region));
}

bool CellDirectory::dropRemovedServices(const Estate &estate)
{
    bool dropped = false;
    for (auto it = m_records.begin(); it != m_records.end();) {
        if (estate.hasService(it->first)) {
            ++it;
            continue;
        }
        it->second.cell->updateTargets({});
        it = m_records.erase(it);
        dropped = true;
    }
    return dropped;
}

void CellDirectory::publishCells()
{
    auto map = makeRef<CellMap>();
    for (const auto &[service, record] : m_records)
        map->cells.emplace(service, record.cell);
    m_cells.publish(map);
}

void CellDirectory::publishVerdicts()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[service, record] : m_records) {
        if (record.role != DispatchRole::Owner)
            continue;
        std::vector<TargetVerdict> verdicts = record.cell->verdicts();
        if (equalIgnoringNextTrial(verdicts, record.publishedVerdicts))
            continue;
        m_sharing.publishVerdicts({ service, m_settings.self.region, verdicts });
        record.publishedVerdicts = std::move(verdicts);
    }
}

void CellDirectory::startProbes()
{
    for (const auto &[service, cell] : cells()) {
        for (const Probe &probe : cell->dueProbes()) {
            const auto run = [this, cell = cell, probe] {
                const HttpRequest request{ "GET", "/health", {}, {} };
                const ExchangeResult answer =
                        m_client.exchange(probe.address, request,
                                          m_clock.now() + m_settings.probeTimeout, nullptr, {});
                cell->completeProbe(probe.targetId, answer.result.load);
            };
            if (!m_workers->schedule(m_clock.now(), run))
                cell->completeProbe(probe.targetId, std::nullopt);
        }
    }
}

} // namespace lycheebay
