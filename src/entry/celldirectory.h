#pragma once

#include "base/itimerservice.h"
#include "base/stringmap.h"
#include "entry/blackboard.h"
#include "entry/cell.h"
#include "entry/entrysettings.h"
#include "entry/ipeersharing.h"

#include <map>
#include <memory>
#include <mutex>

namespace lycheebay {

class ScheduledThreadPool;
class TargetClient;

/// Holds one Cell for each service that has targets in this instance's region, and updates them
/// from the blackboard. Thread-safe.
class CellDirectory
{
public:
    CellDirectory(Blackboard &board, const EntrySettings &settings, const IClock &clock,
                  IPeerSharing &sharing, TargetClient &client);
    ~CellDirectory();
    CellDirectory(const CellDirectory &) = delete;
    CellDirectory &operator=(const CellDirectory &) = delete;

    /// Subscribes to the blackboard and starts the periodic refresh, probes and publishing.
    /// Precondition: called once.
    void start(ITimerService &timers);

    /// Returns null for a service without targets in the region.
    std::shared_ptr<Cell> find(std::string_view service) const;
    std::map<std::string, std::shared_ptr<Cell>> cells() const;

    /// Returns whether the handover wait is over for every cell that this instance owns. Until
    /// then, cold targets get no requests.
    bool isHandoverComplete() const;

    /// Updates the cells from the blackboard. Runs on every change, and every 100 ms because
    /// planned stops begin and end by the clock, without a change.
    void refresh();

private:
    struct CellRecord
    {
        std::shared_ptr<Cell> cell;
        std::vector<TargetSpec> targets;
        std::optional<DispatchRole> role;
        TimePoint coldAllowedFrom;
        std::vector<TargetVerdict> publishedVerdicts;
    };
    /// Shared with callbacks that may outlive the directory; the pointer is null once it is gone.
    struct CallbackGuard
    {
        std::mutex mutex;
        CellDirectory *directory = nullptr;
    };
    class CellMap final : public RefCounted
    {
    public:
        StringMap<std::shared_ptr<Cell>> cells;
    };

    void onTimer();
    bool isCurrent(const Topic<ConfigurationState>::Value &configuration,
                   const Topic<CellPlan>::Value &plan, const Topic<PlatformView>::Value &platform);
    bool refreshService(const std::string &service, const ConfigurationState &configuration,
                        const CellPlan &plan, const StringSet &leaving);
    std::vector<TargetSpec> targetSpecs(const std::string &service, const Estate &estate,
                                        const StringSet &leaving) const;
    void setRole(const std::string &service, CellRecord &record, const CellPlan &plan);
    bool dropRemovedServices(const Estate &estate);
    void publishCells();
    void publishVerdicts();
    void startProbes();

    Blackboard &m_board;
    const EntrySettings m_settings;
    const IClock &m_clock;
    IPeerSharing &m_sharing;
    TargetClient &m_client;
    Topic<CellMap> m_cells;
    mutable std::mutex m_mutex;
    /// The inputs of the last refresh.
    Topic<ConfigurationState>::Value m_configuration;
    Topic<CellPlan>::Value m_plan;
    Topic<PlatformView>::Value m_platform;
    std::map<std::string, CellRecord> m_records;
    const std::shared_ptr<CallbackGuard> m_callbackGuard = std::make_shared<CallbackGuard>();
    int m_timerTicks = 0;
    std::unique_ptr<ScheduledThreadPool> m_workers;
    TimerSubscription m_timer;
};

} // namespace lycheebay
