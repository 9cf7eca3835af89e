#include "gateway/relay/estatecoordinator.h"

#include "base/log.h"
#include "base/seconds.h"

#include <algorithm>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A target that drains must get no request two seconds after the platform accepted its word. The
// reader's period, the delay of the news and the time to notice a silent reader stay within that.
constexpr Duration kReadPeriod = milliseconds(1000);
constexpr Duration kLateNews = milliseconds(1500);
// Period of an instance without news that serves no requests.
constexpr Duration kIdleReadPeriod = seconds(6);
// An instance that served no request for this long counts as idle.
constexpr Duration kIdleAfter = seconds(3);
// Pause after a failed read, spread by half either way.
constexpr Duration kRetryPause = milliseconds(300);
// A request does not wait longer than this for a read; the last known list serves then.
constexpr Duration kLongestRequestWait = milliseconds(250);
// Waits of one read of the operator's records: short where a missed change must be found in time,
// long before there is a first one.
constexpr Duration kShortWait = milliseconds(1000);
constexpr Duration kLongWait = seconds(28);
// A reader that did not read the operator's records for this long sends no news, so that the
// others read by themselves: a short wait, and the time that its answer takes.
constexpr Duration kLateOperatorRead = milliseconds(1500);

// Time that an instance needs after its start to find the reader and hear from it.
constexpr Duration kStartTime = seconds(2);

// Instances that are started together do so within some 300 ms, and are listed after some
// renewals.
constexpr Duration kFirstListDelay = milliseconds(900);

constexpr char kReaderGroup[] = "estate-reader";

} // namespace

EstateCoordinator::EstateCoordinator(ITimerService &timers, const IClock &clock,
                                     IRandomSource &random, GatewayBlackboard &blackboard,
                                     IEstateSource &source, IPeerLinks &links, Settings settings)
    : m_timers(timers)
    , m_clock(clock)
    , m_random(random)
    , m_blackboard(blackboard)
    , m_source(source)
    , m_links(links)
    , m_settings(std::move(settings))
    , m_logger(componentLogger("estate"))
{
    m_blackboard.instances.subscribe(
            [this](const IntrusivePtr<const InstanceList> &it) { chooseReader(*it); });
}

absl::Status EstateCoordinator::start()
{
    absl::Status status = m_links.start(this);
    if (!status.ok())
        return status;
    m_startedAt = m_clock.now();
    m_source.start(*this);
    chooseOperatorWait();
    m_lastReadAt = m_startedAt;
    m_source.readTargets();
    return absl::OkStatus();
}

void EstateCoordinator::leave()
{
    const auto current = m_blackboard.instances.read();
    if (!current)
        return;
    auto others = makeRef<InstanceList>();
    for (const GatewayInstance &it : current->instances) {
        if (it.id != m_settings.instanceId)
            others->instances.push_back(it);
    }
    instancesRead(IntrusivePtr<const InstanceList>(others));
}

void EstateCoordinator::chooseReader(const InstanceList &instances)
{
    InstanceList region;
    for (const GatewayInstance &it : instances.instances) {
        const auto known = m_settings.regions.find(it.failureDomain);
        if (known != m_settings.regions.end() && known->second == m_settings.region)
            region.instances.push_back(it);
    }
    // One of the largest, since a reader sends every change to the whole region; a small instance
    // needs seconds to send a large configuration to all others.
    double largest = 0;
    for (const GatewayInstance &it : region.instances)
        largest = std::max(largest, it.weight);
    std::erase_if(region.instances, [&](const auto &it) { return it.weight < largest; });
    // Ranked as if they were in one failure domain: one reader serves the whole region.
    for (GatewayInstance &it : region.instances)
        it.failureDomain.clear();
    const auto readers = rankedInstances(region, kReaderGroup, "", 1);
    const std::string reader = readers.empty() ? m_settings.instanceId : readers.front().id;
    if (reader == m_reader)
        return;
    m_reader = reader;
    m_role = reader == m_settings.instanceId ? Role::Reader : Role::Follower;
    LOG4CPLUS_INFO(m_logger,
                   "event=reader_chosen reader=" << reader << " self=" << (m_role == Role::Reader));
    if (m_role == Role::Reader)
        m_links.setDesired({});
    else
        m_links.setDesired({ { readers.front().address.host, m_settings.relayPort } });
    chooseOperatorWait();
    schedule();
}

bool EstateCoordinator::isRecent(Duration age) const
{
    return m_asOf && m_clock.now() - *m_asOf <= age;
}

Duration EstateCoordinator::readDelay() const
{
    const TimePoint now = m_clock.now();
    if (!m_lastReadAt)
        return Duration::zero();
    const TimePoint last = *m_lastReadAt;
    if (m_failures > 0) {
        const double spread = 0.5 + m_random.uniform();
        return last + fromSeconds(toSeconds(kRetryPause) * spread) - now;
    }
    if (m_role == Role::Reader)
        return last + kReadPeriod - now;
    const bool inUse = m_lastUseAt && now - *m_lastUseAt < kIdleAfter;
    const TimePoint next = last + (inUse ? kReadPeriod : kIdleReadPeriod);
    return std::max(std::max(newsLateAt(), now), next) - now;
}

void EstateCoordinator::schedule()
{
    m_timer = m_timers.after(std::max(readDelay(), Duration::zero()), [this] {
        // News may have come since the timer was set.
        if (readDelay() > Duration::zero()) {
            schedule();
            return;
        }
        m_lastReadAt = m_clock.now();
        m_source.readTargets();
        if (m_instancesMissed && !reliesOnReader()) {
            m_instancesMissed = false;
            m_source.readInstances();
        }
    });
}

bool EstateCoordinator::reliesOnReader() const
{
    if (m_role == Role::Reader)
        return false;
    return m_clock.now() < newsLateAt();
}

TimePoint EstateCoordinator::newsLateAt() const
{
    const TimePoint started = m_startedAt + kStartTime;
    return m_asOf ? std::max(*m_asOf + kLateNews, started) : started;
}

void EstateCoordinator::chooseOperatorWait()
{
    m_operatorTimer.reset();
    if (!reliesOnReader()) {
        m_source.setOperatorWait(kShortWait);
        return;
    }
    m_operatorTimer =
            m_timers.after(newsLateAt() - m_clock.now(), [this] { chooseOperatorWait(); });
    const bool known = m_source.operatorPosition() > 0;
    m_source.setOperatorWait(known ? std::nullopt : std::optional(kLongWait));
}

void EstateCoordinator::targetsRead(const IntrusivePtr<const TargetList> &targets,
                                    TimePoint startedAt, bool settled)
{
    m_lastReadAt = startedAt;
    m_settled = settled;
    if (targets) {
        m_failures = 0;
        m_asOf = std::max(m_asOf.value_or(startedAt), startedAt);
        publish(targets);
        if (m_role == Role::Reader)
            sendNews();
    } else {
        ++m_failures;
    }
    releaseWaiting();
    schedule();
}

void EstateCoordinator::operatorRecordsRead()
{
    if (m_role == Role::Reader)
        sendNews();
    else
        chooseOperatorWait();
}

bool EstateCoordinator::hasRecentOperatorRecords() const
{
    const auto readAt = m_source.operatorReadAt();
    return readAt && m_clock.now() - *readAt <= kLateOperatorRead;
}

void EstateCoordinator::instancesChanged()
{
    if (m_role == Role::Unknown) {
        // Instances that start together are all listed a little later.
        const Duration delay = m_startedAt + kFirstListDelay - m_clock.now();
        m_firstListTimer = m_timers.after(std::max(delay, Duration::zero()),
                                          [this] { m_source.readInstances(); });
        return;
    }
    m_instancesMissed = reliesOnReader();
    if (!m_instancesMissed)
        m_source.readInstances();
}

void EstateCoordinator::instancesRead(const IntrusivePtr<const InstanceList> &instances)
{
    // An instance that stops being the reader tells its followers too, so that they find the next.
    const bool wasReader = m_role == Role::Reader;
    publish(instances);
    if (wasReader || m_role == Role::Reader)
        sendNews();
}

void EstateCoordinator::publish(const IntrusivePtr<const InstanceList> &instances)
{
    const auto current = m_blackboard.instances.read();
    if (current && *current == *instances)
        return;
    LOG4CPLUS_INFO(m_logger, "event=instances_changed instances=" << instances->instances.size());
    m_blackboard.instances.publish(instances);
}

void EstateCoordinator::publish(const IntrusivePtr<const TargetList> &targets)
{
    const auto current = m_blackboard.targets.read();
    if (current && *current == *targets)
        return;
    const auto leaving = std::count_if(targets->targets.begin(), targets->targets.end(),
                                       [](const TargetRecord &it) { return it.leaving; });
    LOG4CPLUS_INFO(m_logger, "event=targets_changed targets=" << targets->targets.size()
                                                              << " leaving=" << leaving);
    m_blackboard.targets.publish(targets);
}

void EstateCoordinator::sendNews()
{
    for (const auto &[link, list] : m_followers)
        sendNewsTo(link);
}

void EstateCoordinator::sendNewsTo(LinkId link)
{
    // Others may know better than a list with targets that are perhaps gone.
    if (!m_asOf || !m_settled || !hasRecentOperatorRecords())
        return;
    Told &told = m_followers[link];
    EstateNews news{ *m_asOf, m_source.operatorRecordsSince(told.operatorPosition), {}, {} };
    told.operatorPosition = news.operatorRecords.position;
    if (const auto targets = m_blackboard.targets.read()) {
        news.targets = changeBetween(told.targets, targets->targets);
        told.targets = targets->targets;
    }
    if (const auto instances = m_blackboard.instances.read()) {
        news.instances = changeBetween(told.instances, instances->instances);
        told.instances = instances->instances;
    }
    m_links.send(link, encodeNews(news, m_clock.now(), m_packer));
}

void EstateCoordinator::linkOpened(LinkId link, bool outbound, const Address &remote)
{
    if (outbound) {
        m_readerLink = link;
        LOG4CPLUS_INFO(m_logger,
                       "event=dependency_regained dependency=reader address=" << remote.toString());
        return;
    }
    m_followers[link] = Told();
    if (m_role == Role::Reader)
        sendNewsTo(link);
}

absl::Status EstateCoordinator::frameReceived(LinkId link, std::string_view frame)
{
    if (m_readerLink != link)
        return absl::InvalidArgumentError("news from an instance that is not the reader");
    const auto news = decodeNews(frame, m_clock.now());
    if (!news.ok())
        return news.status();
    m_source.applyOperatorRecords(news->operatorRecords);
    applyChange(m_relayed.targets, news->targets);
    applyChange(m_relayed.instances, news->instances);
    // Older than what this instance read itself; the next news will be newer.
    if (m_asOf && news->asOf < *m_asOf)
        return absl::OkStatus();
    m_asOf = news->asOf;
    m_failures = 0;
    chooseOperatorWait();
    auto targets = makeRef<TargetList>();
    targets->targets = m_relayed.targets;
    publish(IntrusivePtr<const TargetList>(targets));
    auto instances = makeRef<InstanceList>();
    instances->instances = m_relayed.instances;
    publish(IntrusivePtr<const InstanceList>(instances));
    releaseWaiting();
    return absl::OkStatus();
}

void EstateCoordinator::linkClosed(LinkId link)
{
    m_followers.erase(link);
    if (m_readerLink != link)
        return;
    m_readerLink.reset();
    m_relayed = Told();
    LOG4CPLUS_INFO(m_logger, "event=dependency_lost dependency=reader");
    chooseOperatorWait();
    schedule();
}

void EstateCoordinator::whenRecent(std::function<void()> done)
{
    // While the platform is away, the last known list is all there is.
    if (isRecent(kLateNews) || m_failures > 0) {
        done();
        return;
    }
    m_waiting.push_back(std::move(done));
    if (m_waiting.size() == 1)
        m_waitTimer = m_timers.after(kLongestRequestWait, [this] { releaseWaiting(); });
    m_source.readTargets();
}

void EstateCoordinator::releaseWaiting()
{
    m_waitTimer.reset();
    const auto waiting = std::move(m_waiting);
    m_waiting.clear();
    for (const auto &it : waiting)
        it();
}

void EstateCoordinator::noteUse()
{
    const TimePoint now = m_clock.now();
    const bool wasIdle = !m_lastUseAt || now - *m_lastUseAt >= kIdleAfter;
    m_lastUseAt = now;
    if (wasIdle)
        schedule();
}

} // namespace lycheebay
