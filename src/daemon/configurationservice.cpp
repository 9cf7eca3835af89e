#include "daemon/configurationservice.h"

#include "base/log.h"
#include "base/seededrandom.h"
#include "configuration/configurationpoller.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace lycheebay {

namespace {

constexpr std::chrono::seconds kListPeriod{ 1 };
constexpr std::chrono::milliseconds kRosterPeriod{ 500 };
constexpr std::chrono::seconds kPublishTimeout{ 8 };
constexpr std::chrono::seconds kInternalPublishTimeout{ 3 };
/// An instance that is not a poller reads the log itself when its attestation is older than this.
constexpr std::chrono::seconds kQuietPeers{ 1 };
constexpr std::size_t kPollersPerRegion = 2;
/// Keeps an author whose snapshots do not reach the log from appending one after the other.
constexpr std::chrono::seconds kSnapshotPause{ 10 };
constexpr char kInternalAuthor[] = "lycheebay";

void pauseFor(Duration duration)
{
    std::this_thread::sleep_for(duration);
}

log4cplus::Logger logger()
{
    return componentLogger("configuration");
}

} // namespace

ConfigurationService::ConfigurationService(const Settings &settings, RosterMember self,
                                           IPlatformLog &log, IInstanceList &list,
                                           ConfigurationFollower &follower,
                                           ConfigurationLease &lease, Blackboard &board,
                                           const IClock &clock)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_log(log)
    , m_list(list)
    , m_follower(follower)
    , m_lease(lease)
    , m_board(board)
    , m_clock(clock)
    , m_snapshots(settings.logRetention)
    , m_publisher(log, follower, clock, pauseFor)
{}

ConfigurationService::~ConfigurationService() = default;

void ConfigurationService::start(ListListener listListener)
{
    m_listListener = std::move(listListener);
    m_logThread = std::make_unique<PeriodicThread>(m_settings.pollPeriod, [this] { pollLog(); });
    m_listThread = std::make_unique<PeriodicThread>(kListPeriod, [this] { pollList(); });
    m_rosterThread = std::make_unique<PeriodicThread>(kRosterPeriod, [this] { maintainRoster(); });
}

absl::StatusOr<PublishReport> ConfigurationService::publish(const Change &change)
{
    // A repeat after a lost answer finds the verdict of the first one.
    static_cast<void>(pollOnce(m_log, m_follower));
    if (const auto verdict = m_publisher.verdictOf(change.id))
        return *verdict;
    return m_publisher.publish(change, m_clock.now() + kPublishTimeout);
}

void ConfigurationService::removeMember(const RosterMember &member)
{
    const std::lock_guard lock(m_mutex);
    if (std::find(m_dead.begin(), m_dead.end(), member) == m_dead.end())
        m_dead.push_back(member);
}

void ConfigurationService::leave()
{
    m_leaving = true;
    m_rosterThread.reset();
    publishInternal(LeaveBody{ m_self.instanceId, m_self.incarnation });
}

void ConfigurationService::pollLog()
{
    if (!isPoller(m_clock.now()))
        return;
    const TimePoint began = m_clock.now();
    const auto result = pollOnce(m_log, m_follower);
    const TimePoint now = m_clock.now();
    if (result.ok() && result->caughtUp) {
        m_caughtUp = true;
        m_lease.readSucceeded(began, m_follower.nextOffset(), now);
    } else if (!result.ok() && absl::IsUnavailable(result.status())) {
        m_lease.readFailed(began, now);
    }
    if (result.ok() == m_storeDown) {
        m_storeDown = !result.ok();
        if (m_storeDown)
            LOG4CPLUS_WARN(logger(), "the log cannot be read: " << result.status().message());
        else
            LOG4CPLUS_INFO(logger(), "the log can be read again");
    }
}

bool ConfigurationService::isPoller(TimePoint now) const
{
    const auto age = m_lease.attestationAge(now);
    if (!m_caughtUp || !age || *age > kQuietPeers)
        return true;
    const auto ids = liveIds();
    const auto end =
            ids.begin() + static_cast<std::ptrdiff_t>(std::min(kPollersPerRegion, ids.size()));
    return std::find(ids.begin(), end, m_self.instanceId) != end;
}

/// Sorted ids of the live entries of the own region.
std::vector<std::string> ConfigurationService::liveIds() const
{
    std::vector<std::string> ids;
    const auto plan = m_board.plan.read();
    if (!plan)
        return ids;
    for (const Member &member : plan->members()) {
        if (member.identity.region == m_self.region && !member.leaving)
            ids.push_back(member.identity.instanceId);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

void ConfigurationService::pollList()
{
    const auto instances = m_list.list();
    // The last list stays in force: its age changes nothing, because it lags anyway.
    if (!instances.ok())
        return;
    const auto view = makeRef<const PlatformView>(*instances);
    // A list without a change must not make its readers work through it again.
    const auto previous = m_board.platform.read();
    if (!previous || previous->instances() != view->instances())
        m_board.platform.publish(view);
    if (m_listListener)
        m_listListener(*view);
}

void ConfigurationService::maintainRoster()
{
    join();
    publishLeaves();
    publishSnapshot();
}

void ConfigurationService::join()
{
    // Nothing can be appended before the log was reached, and without it the roster may be old.
    if (m_leaving || !m_caughtUp)
        return;
    const auto state = m_follower.state();
    for (const RosterMember &member : state->roster()) {
        if (member.incarnation == m_self.incarnation)
            return;
    }
    if (publishInternal(JoinBody{ m_self }))
        LOG4CPLUS_INFO(logger(), "joined the roster");
}

void ConfigurationService::publishLeaves()
{
    std::vector<RosterMember> dead;
    {
        const std::lock_guard lock(m_mutex);
        dead.swap(m_dead);
    }
    for (const RosterMember &member : dead) {
        LOG4CPLUS_WARN(logger(), member.instanceId << " is dead, taking it out of the roster");
        publishInternal(LeaveBody{ member.instanceId, member.incarnation });
    }
}

void ConfigurationService::publishSnapshot()
{
    const auto state = m_follower.state();
    const TimePoint now = m_clock.now();
    const auto ids = liveIds();
    const bool isLive = std::find(ids.begin(), ids.end(), m_self.instanceId) != ids.end();
    if (m_leaving || !m_caughtUp || !isLive || m_self.region != m_settings.storeRegion
        || !SnapshotPolicy::isAuthor(m_self.instanceId, ids)
        || !m_snapshots.isDue(*state, m_clock.wallNow()))
        return;
    if (m_lastSnapshot && now < *m_lastSnapshot + kSnapshotPause)
        return;
    m_lastSnapshot = now;
    if (publishInternal(ChangeApplier::snapshotOf(*state)))
        LOG4CPLUS_INFO(logger(), "appended a snapshot");
}

Change ConfigurationService::makeChange(ChangeBody body) const
{
    Change change;
    change.id = fmt::format("{:016x}", systemRandomBits());
    change.author = kInternalAuthor;
    change.time = m_clock.wallNow();
    change.baseRevision = m_follower.state()->revision();
    change.body = std::move(body);
    return change;
}

bool ConfigurationService::publishInternal(ChangeBody body)
{
    const auto report = m_publisher.publish(makeChange(std::move(body)),
                                            m_clock.now() + kInternalPublishTimeout);
    return report.ok() && report->outcome == PublishOutcome::Accepted;
}

} // namespace lycheebay
