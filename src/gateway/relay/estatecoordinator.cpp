#include "gateway/relay/estatecoordinator.h"

#include "base/log.h"
#include "base/seconds.h"

#include <algorithm>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Period of an instance without news that serves no requests.
constexpr Duration kIdleReadPeriod = seconds(6);
// An instance that served no request for this long counts as idle.
constexpr Duration kIdleAfter = seconds(3);
// Pauses after failed reads, doubled each time, spread by half either way: all instances fail
// together when the platform does, and each call has a price. An instance counts as in touch with
// the platform 3 s after its return.
constexpr Duration kFirstRetryPause = milliseconds(300);
constexpr Duration kFirstReaderPause = milliseconds(80);
constexpr Duration kLongestRetryPause = milliseconds(1600);
constexpr int kMostDoublings = 3;
// A request does not wait longer than this for a read; the last known list serves then.
constexpr Duration kLongestRequestWait = milliseconds(250);
// Wait of one read of the operator's records before there is a first one.
constexpr Duration kLongWait = seconds(28);
// An instance whose link broke or whose news were late is not followed for this long; the list of
// instances shows by then whether it is gone.
constexpr Duration kSuspectTime = seconds(5);

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
            [this](const IntrusivePtr<const InstanceList> &) { chooseReader(); });
}

absl::Status EstateCoordinator::start()
{
    absl::Status status = m_links.start(this);
    if (!status.ok())
        return status;
    m_startedAt = m_clock.now();
    m_readerSince = m_startedAt;
    m_source.start(*this);
    chooseOperatorWait();
    // The reader's news bring the targets; a request that comes before them has them read at once.
    schedule();
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

std::optional<GatewayInstance> EstateCoordinator::bestReader() const
{
    const auto instances = m_blackboard.instances.read();
    if (!instances)
        return std::nullopt;
    InstanceList candidates;
    // One of the largest, since a reader sends every change to the whole region; a small instance
    // needs seconds to send a large configuration to all others.
    double largest = 0;
    for (const GatewayInstance &it : instances->instances) {
        const auto region = m_settings.regions.find(it.failureDomain);
        const bool isHere =
                region != m_settings.regions.end() && region->second == m_settings.region;
        if (!isHere || m_suspects.contains(it.id))
            continue;
        candidates.instances.push_back(it);
        // Ranked as if they were in one failure domain: one reader serves the whole region.
        candidates.instances.back().failureDomain.clear();
        largest = std::max(largest, it.weight);
    }
    std::erase_if(candidates.instances, [&](const auto &it) { return it.weight < largest; });
    const auto ranked = rankedInstances(candidates, kReaderGroup, "", 1);
    return ranked.empty() ? std::nullopt : std::optional(ranked.front());
}

void EstateCoordinator::chooseReader()
{
    std::erase_if(m_suspects, [&](const auto &it) { return it.second <= m_clock.now(); });
    const auto best = bestReader();
    const std::string reader = best ? best->id : m_settings.instanceId;
    if (reader == m_reader)
        return;
    m_reader = reader;
    m_readerSince = m_clock.now();
    m_role = reader == m_settings.instanceId ? Role::Reader : Role::Follower;
    LOG4CPLUS_INFO(m_logger,
                   "event=reader_chosen reader=" << reader << " self=" << (m_role == Role::Reader));
    // What the link before told does not count any more, nor does its end.
    m_readerLink.reset();
    m_relayed = Told();
    if (m_role == Role::Reader)
        m_links.setDesired({});
    else
        m_links.setDesired({ { best->address.host, m_settings.relayPort } });
    chooseOperatorWait();
    schedule();
}

void EstateCoordinator::suspectReader(const char *reason)
{
    LOG4CPLUS_INFO(m_logger, "event=dependency_lost dependency=reader reader="
                                     << m_reader << " reason=" << reason);
    m_suspects[m_reader] = m_clock.now() + kSuspectTime;
    m_suspectTimer = m_timers.after(kSuspectTime, [this] { chooseReader(); });
    chooseReader();
}

void EstateCoordinator::suspectSilentReader()
{
    if (m_role != Role::Follower || !m_settled)
        return;
    const TimePoint heard = std::max(m_newsAsOf.value_or(m_readerSince), m_readerSince);
    if (m_clock.now() - heard >= lateNews())
        suspectReader("late_news");
}

bool EstateCoordinator::isRecent(Duration age) const
{
    return m_asOf && m_clock.now() - *m_asOf <= age;
}

Duration EstateCoordinator::readDelay() const
{
    const TimePoint now = m_clock.now();
    if (m_failures > 0) {
        const int doublings = std::min(m_failures - 1, kMostDoublings);
        const Duration first = readsForOthers() ? kFirstReaderPause : kFirstRetryPause;
        const Duration pause = std::min(first * (1 << doublings), kLongestRetryPause);
        const double spread = 0.5 + m_random.uniform();
        return m_lastReadAt.value_or(now) + fromSeconds(toSeconds(pause) * spread) - now;
    }
    if (readsForOthers())
        return m_lastReadAt ? *m_lastReadAt + readPeriod() - now : Duration::zero();
    // The first read after the news are late tells whether the platform can be read here.
    if (!m_lastReadAt || *m_lastReadAt < newsLateAt())
        return newsLateAt() - now;
    const bool inUse = m_lastUseAt && now - *m_lastUseAt < kIdleAfter;
    return *m_lastReadAt + (inUse ? readPeriod() : kIdleReadPeriod) - now;
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
    return !readsForOthers() && m_clock.now() < newsLateAt();
}

TimePoint EstateCoordinator::newsLateAt() const
{
    const TimePoint started = m_startedAt + kStartTime;
    return m_newsAsOf ? std::max(*m_newsAsOf + lateNews(), started) : started;
}

void EstateCoordinator::chooseOperatorWait()
{
    m_operatorTimer.reset();
    if (!reliesOnReader()) {
        m_source.setOperatorPollTimeout(readPeriod());
        return;
    }
    m_operatorTimer =
            m_timers.after(newsLateAt() - m_clock.now(), [this] { chooseOperatorWait(); });
    const bool isTold = m_settings.wholeSystemStarts || m_source.operatorRecordsPosition() > 0;
    m_source.setOperatorPollTimeout(isTold ? std::nullopt : std::optional(kLongWait));
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
        if (readsForOthers())
            sendNews();
        suspectSilentReader();
    } else {
        ++m_failures;
    }
    releaseWaiting();
    schedule();
}

void EstateCoordinator::operatorRecordsRead()
{
    if (readsForOthers())
        sendNews();
    else
        chooseOperatorWait();
}

bool EstateCoordinator::hasRecentOperatorRecords() const
{
    const auto readAt = m_source.operatorRecordsReadAt();
    return readAt && m_clock.now() - *readAt <= lateNews();
}

void EstateCoordinator::instancesChanged()
{
    if (m_role == Role::Unknown) {
        // Instances that start together are all listed a little later.
        const TimePoint at =
                m_settings.wholeSystemStarts ? m_startedAt + kFirstListDelay : m_clock.now();
        const Duration delay = at - m_clock.now();
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
    publish(instances);
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
    EstateUpdate news;
    news.asOf = *m_asOf;
    news.operatorRecords = m_source.operatorRecordsSince(told.operatorRecordsPosition);
    news.targetsPosition = m_source.targetsPosition();
    told.operatorRecordsPosition = news.operatorRecords.position;
    if (const auto targets = m_blackboard.targets.read()) {
        news.targets = changeBetween(told.targets, targets->targets);
        told.targets = targets->targets;
    }
    if (const auto instances = m_blackboard.instances.read()) {
        news.instances = changeBetween(told.instances, instances->instances);
        told.instances = instances->instances;
    }
    m_links.send(link, encodeUpdate(news, m_clock.now(), m_packer));
}

void EstateCoordinator::linkOpened(LinkId link, bool outbound, const Address &remote)
{
    if (outbound) {
        m_readerLink = link;
        LOG4CPLUS_INFO(m_logger,
                       "event=dependency_regained dependency=reader address=" << remote.toString());
        return;
    }
    const bool read = readsForOthers();
    m_followers[link] = Told();
    if (!read) {
        chooseOperatorWait();
        m_source.readTargets();
    }
    sendNewsTo(link);
}

absl::Status EstateCoordinator::frameReceived(LinkId link, std::string_view frame)
{
    if (m_readerLink != link)
        return absl::InvalidArgumentError("news from an instance that is not the reader");
    const auto news = decodeUpdate(frame, m_clock.now());
    if (!news.ok())
        return news.status();
    m_source.applyOperatorRecords(news->operatorRecords);
    applyChange(m_relayed.targets, news->targets);
    applyChange(m_relayed.instances, news->instances);
    // Older than what this instance read itself; the next news will be newer.
    if (m_asOf && news->asOf < *m_asOf)
        return absl::OkStatus();
    m_asOf = news->asOf;
    m_newsAsOf = news->asOf;
    m_failures = 0;
    chooseOperatorWait();
    publishRelayed(news->targetsPosition);
    releaseWaiting();
    return absl::OkStatus();
}

void EstateCoordinator::publishRelayed(std::uint64_t targetsPosition)
{
    // Most news change nothing, and the lists are not copied then.
    auto targets = m_blackboard.targets.read();
    if (!targets || targets->targets != m_relayed.targets) {
        auto list = makeRef<TargetList>();
        list->targets = m_relayed.targets;
        targets = IntrusivePtr<const TargetList>(list);
    }
    m_source.adoptTargets(*targets, targetsPosition);
    publish(targets);
    const auto instances = m_blackboard.instances.read();
    if (instances && instances->instances == m_relayed.instances)
        return;
    auto list = makeRef<InstanceList>();
    list->instances = m_relayed.instances;
    publish(IntrusivePtr<const InstanceList>(list));
}

void EstateCoordinator::linkClosed(LinkId link)
{
    if (m_followers.erase(link) > 0 && !readsForOthers()) {
        chooseOperatorWait();
        schedule();
    }
    if (m_readerLink != link)
        return;
    m_readerLink.reset();
    suspectReader("link_closed");
}

void EstateCoordinator::whenRecent(std::function<void()> done)
{
    // While the platform is away, the last known list is all there is.
    if (isRecent(lateNews()) || m_failures > 0) {
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
