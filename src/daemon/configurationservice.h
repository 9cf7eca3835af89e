#pragma once

#include "base/periodicthread.h"
#include "configuration/changepublisher.h"
#include "configuration/configurationfollower.h"
#include "configuration/configurationlease.h"
#include "configuration/snapshotpolicy.h"
#include "daemon/settings.h"
#include "entry/blackboard.h"
#include "platform/iinstancelist.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace lycheebay {

/// Follows the platform's log and instance list, keeps this incarnation in the roster and appends
/// snapshots. Blocking calls to the platform run on threads of its own. Thread-safe.
class ConfigurationService
{
public:
    /// Is told of each new instance list, on the list's thread.
    using ListListener = std::function<void(const PlatformView &)>;

    /// All references outlive the service.
    ConfigurationService(const Settings &settings, RosterMember self, IPlatformLog &log,
                         IInstanceList &list, ConfigurationFollower &follower,
                         ConfigurationLease &lease, Blackboard &board, const IClock &clock);
    ~ConfigurationService();
    ConfigurationService(const ConfigurationService &) = delete;
    ConfigurationService &operator=(const ConfigurationService &) = delete;

    /// Precondition: called once.
    void start(ListListener listListener);

    /// Publishes a change and returns its verdict, also when its id was published before. Errors:
    /// those of ChangePublisher::publish(). Blocks up to the publish timeout.
    absl::StatusOr<PublishReport> publish(const Change &change);

    /// Publishes `leave` for a dead incarnation soon. Does not block.
    void removeMember(const RosterMember &member);

    /// Stops joining and takes this incarnation out of the roster. Blocks up to the publish
    /// timeout.
    void leave();

private:
    void pollLog();
    void pollList();
    void maintainRoster();
    void join();
    void publishLeaves();
    void publishSnapshot();
    bool isPoller(TimePoint now) const;
    std::vector<std::string> liveIds() const;
    Change makeChange(ChangeBody body) const;
    bool publishInternal(ChangeBody body);

    const Settings &m_settings;
    const RosterMember m_self;
    IPlatformLog &m_log;
    IInstanceList &m_list;
    ConfigurationFollower &m_follower;
    ConfigurationLease &m_lease;
    Blackboard &m_board;
    const IClock &m_clock;
    const SnapshotPolicy m_snapshots;
    ChangePublisher m_publisher;
    ListListener m_listListener;

    std::mutex m_mutex;
    std::vector<RosterMember> m_dead;
    std::optional<TimePoint> m_lastSnapshot;
    std::atomic<bool> m_caughtUp{ false };
    std::atomic<bool> m_leaving{ false };
    bool m_storeDown = false;

    std::unique_ptr<PeriodicThread> m_logThread;
    std::unique_ptr<PeriodicThread> m_listThread;
    std::unique_ptr<PeriodicThread> m_rosterThread;
};

} // namespace lycheebay
