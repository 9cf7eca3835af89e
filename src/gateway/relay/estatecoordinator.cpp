#include "gateway/relay/estatecoordinator.h"

#include "base/log.h"
#include "base/seconds.h"

#include <algorithm>
#include <utility>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Read period of an instance that receives no updates and serves no requests.
constexpr Duration kIdleReadPeriod = seconds(6);
// An instance is idle if it has served no request for this long.
constexpr Duration kIdleAfter = seconds(3);
// Delays after failed reads: exponential backoff with a jitter of 50 % either way, because all
// instances fail at the same time when the platform does and each call is charged. The renewals of
// memberships notice the return of the platform, after which a read follows at once.
constexpr Duration kInitialRetryDelay = milliseconds(300);
constexpr Duration kInitialReaderRetryDelay = milliseconds(80);
constexpr Duration kMaxRetryDelay = milliseconds(2400);
constexpr Duration kMaxReaderRetryDelay = milliseconds(640);
constexpr int kMaxRetryDoublings = 5;
// A request waits at most this long for a read and then uses the last known list.
constexpr Duration kMaxRequestWait = milliseconds(250);
// Long-poll timeout of a follower that does not know any of the operator's records yet.
constexpr Duration kInitialPollTimeout = seconds(28);
// A reader whose link was closed or whose updates were late is not followed for this long. By then
// it has disappeared from the list of instances if it has failed.
constexpr Duration kSuspectDuration = seconds(5);

// Time in which an instance finds the reader and receives an update after its start.
constexpr Duration kStartupDuration = seconds(2);

// When the whole system starts, all instances start within about 300 ms of each other and appear in
// the list of instances after a few renewals of their membership.
constexpr Duration kFirstInstanceReadDelay = milliseconds(900);

// Time that followers leave to their reader when the platform answers again, as a fraction of the
// time within which a change must be in force.
constexpr int kReaderHeadStartDivisor = 8;

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
    , m_spillover(timers, clock, blackboard,
                  { [this](const OverflowCounts &it) { sendOverflowToReader(it); },
                    [this] { sendUpdates(); } })
{
    m_blackboard.instances.subscribe(
            [this](const IntrusivePtr<const InstanceList> &) { chooseReader(); });
    m_blackboard.reports.subscribe([this](const IntrusivePtr<const InstanceReport> &it) {
        m_reports.add(*it, m_clock.now());
        sendReport(*it, std::nullopt);
    });
}

absl::Status EstateCoordinator::start()
{
    absl::Status status = m_links.start(this);
    if (!status.ok())
        return status;
    m_startedAt = m_clock.now();
    m_readerSince = m_startedAt;
    m_source.start(*this);
    updateOperatorPollTimeout();
    // The first update brings the list of targets. A request that arrives earlier triggers a read.
    scheduleRead();
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

std::vector<GatewayInstance> EstateCoordinator::preferredReaders(const std::string &wanted,
                                                                 std::size_t n) const
{
    const auto instances = m_blackboard.instances.read();
    if (!instances)
        return {};
    InstanceList candidates;
    // Only the largest instances are candidates: the reader sends every change to the whole region,
    // and a small instance needs seconds to send a large configuration to all others.
    double largest = 0;
    for (const GatewayInstance &it : instances->instances) {
        const auto region = m_settings.regions.find(it.failureDomain);
        const bool inRegion = region != m_settings.regions.end() && region->second == wanted;
        if (!inRegion || m_suspects.contains(it.id))
            continue;
        candidates.instances.push_back(it);
        // The ranking ignores failure domains, since one reader serves the whole region.
        candidates.instances.back().failureDomain.clear();
        largest = std::max(largest, it.weight);
    }
    std::erase_if(candidates.instances, [&](const auto &it) { return it.weight < largest; });
    return rankedInstances(candidates, kReaderGroup, "", n);
}

std::map<Address, std::string> EstateCoordinator::exchangePartners() const
{
    std::map<Address, std::string> partners;
    const auto add = [&](const std::string &region, std::size_t n) {
        for (const GatewayInstance &it : preferredReaders(region, n)) {
            if (it.id != m_settings.instanceId)
                partners[{ it.address.host, m_settings.relayPort }] = region;
        }
    };
    add(m_settings.region, 2);
    for (const auto &[domain, region] : m_settings.regions) {
        if (region != m_settings.region)
            add(region, 1);
    }
    return partners;
}

void EstateCoordinator::updateLinks()
{
    std::vector<Address> desired;
    if (m_role == Role::Reader) {
        for (const auto &[address, region] : exchangePartners())
            desired.push_back(address);
    } else {
        for (const GatewayInstance &it : preferredReaders(m_settings.region, 1))
            desired.push_back({ it.address.host, m_settings.relayPort });
    }
    m_links.setDesiredAddresses(std::move(desired));
}

std::string EstateCoordinator::regionOf(const std::string &host) const
{
    const auto instances = m_blackboard.instances.read();
    if (!instances)
        return {};
    const auto it = std::find_if(instances->instances.begin(), instances->instances.end(),
                                 [&](const auto &entry) { return entry.address.host == host; });
    if (it == instances->instances.end())
        return {};
    const auto region = m_settings.regions.find(it->failureDomain);
    return region == m_settings.regions.end() ? std::string() : region->second;
}

void EstateCoordinator::chooseReader()
{
    std::erase_if(m_suspects, [&](const auto &it) { return it.second <= m_clock.now(); });
    const auto best = preferredReaders(m_settings.region, 1);
    const std::string reader = best.empty() ? m_settings.instanceId : best.front().id;
    if (reader == m_readerId) {
        if (m_role == Role::Reader)
            updateLinks();
        return;
    }
    m_readerId = reader;
    m_readerSince = m_clock.now();
    m_role = reader == m_settings.instanceId ? Role::Reader : Role::Follower;
    m_spillover.setReader(m_role == Role::Reader);
    LOG4CPLUS_INFO(m_logger,
                   "event=reader_chosen reader=" << reader << " self=" << (m_role == Role::Reader));
    // State from the previous links is discarded, and their closing is ignored. A link to an
    // instance that stays desired is opened again for its new purpose.
    m_received = SyncedState();
    updateLinks();
    if (m_readerLink)
        m_links.close(*std::exchange(m_readerLink, std::nullopt), "another reader was chosen");
    for (const auto &[link, region] : std::exchange(m_exchangeLinks, {}))
        m_links.close(link, "another reader was chosen");
    updateOperatorPollTimeout();
    scheduleRead();
}

void EstateCoordinator::suspectReader(const char *reason)
{
    LOG4CPLUS_INFO(m_logger, "event=dependency_lost dependency=reader reader="
                                     << m_readerId << " reason=" << reason);
    m_suspects[m_readerId] = m_clock.now() + kSuspectDuration;
    m_suspectTimer = m_timers.after(kSuspectDuration, [this] { chooseReader(); });
    chooseReader();
}

void EstateCoordinator::suspectReaderIfSilent()
{
    if (m_role != Role::Follower || !m_targetsUpToDate)
        return;
    const TimePoint lastHeardAt = std::max(m_lastUpdateAsOf.value_or(m_readerSince), m_readerSince);
    if (m_clock.now() - lastHeardAt >= updateTimeout())
        suspectReader("late_news");
}

bool EstateCoordinator::isRecent(Duration maxAge) const
{
    return m_asOf && m_clock.now() - *m_asOf <= maxAge;
}

Duration EstateCoordinator::readDelay() const
{
    const TimePoint now = m_clock.now();
    if (m_failures > 0) {
        const int doublings = std::min(m_failures - 1, kMaxRetryDoublings);
        const bool reads = readsForOthers();
        const Duration first = reads ? kInitialReaderRetryDelay : kInitialRetryDelay;
        const Duration delay =
                std::min(first * (1 << doublings), reads ? kMaxReaderRetryDelay : kMaxRetryDelay);
        const double jitter = 0.5 + m_random.uniform();
        return m_lastReadAt.value_or(now) + fromSeconds(toSeconds(delay) * jitter) - now;
    }
    if (readsForOthers())
        return m_lastReadAt ? *m_lastReadAt + readPeriod() - now : Duration::zero();
    // Once updates are late, one read shows whether this instance can reach the platform.
    if (!m_lastReadAt || *m_lastReadAt < updateDeadline())
        return updateDeadline() - now;
    const bool inUse = m_lastUseAt && now - *m_lastUseAt < kIdleAfter;
    return *m_lastReadAt + (inUse ? readPeriod() : kIdleReadPeriod) - now;
}

void EstateCoordinator::scheduleRead()
{
    m_readTimer = m_timers.after(std::max(readDelay(), Duration::zero()), [this] {
        // An update may have arrived since the timer was set.
        if (readDelay() > Duration::zero()) {
            scheduleRead();
            return;
        }
        readNow();
    });
}

void EstateCoordinator::readNow()
{
    m_lastReadAt = m_clock.now();
    m_source.readTargets();
}

bool EstateCoordinator::hasReadSinceUpdates() const
{
    return m_lastSuccessAt && *m_lastSuccessAt >= updateDeadline();
}

bool EstateCoordinator::reliesOnReader() const
{
    return !readsForOthers() && m_clock.now() < updateDeadline();
}

TimePoint EstateCoordinator::updateDeadline() const
{
    const TimePoint started = m_startedAt + kStartupDuration;
    return m_lastUpdateAsOf ? std::max(*m_lastUpdateAsOf + updateTimeout(), started) : started;
}

void EstateCoordinator::updateOperatorPollTimeout()
{
    m_operatorPollTimer.reset();
    if (!reliesOnReader()) {
        // While the platform is unreachable for all, each instance makes one call to find out, and
        // the others follow only once it has succeeded.
        if (readsForOthers() || hasReadSinceUpdates())
            m_source.setOperatorPollTimeout(readPeriod());
        return;
    }
    m_operatorPollTimer = m_timers.after(updateDeadline() - m_clock.now(),
                                         [this] { updateOperatorPollTimeout(); });
    const bool coveredByReader =
            m_settings.wholeSystemStarts || m_source.operatorRecordsPosition() > LogPosition();
    m_source.setOperatorPollTimeout(coveredByReader ? std::nullopt
                                                    : std::optional(kInitialPollTimeout));
}

void EstateCoordinator::targetsRead(const IntrusivePtr<const TargetList> &targets,
                                    TimePoint startedAt, bool upToDate)
{
    m_lastReadAt = startedAt;
    m_targetsUpToDate = upToDate;
    if (targets) {
        m_failures = 0;
        m_lastSuccessAt = startedAt;
        m_asOf = std::max(m_asOf.value_or(startedAt), startedAt);
        publish(targets);
        if (!reliesOnReader())
            readWhatUpdatesBrought();
        if (readsForOthers())
            sendUpdates();
        suspectReaderIfSilent();
    } else {
        ++m_failures;
    }
    releaseWaitingRequests();
    scheduleRead();
}

void EstateCoordinator::readWhatUpdatesBrought()
{
    updateOperatorPollTimeout();
    if (!m_instanceReadSkipped)
        return;
    m_instanceReadSkipped = false;
    m_source.readInstances();
}

void EstateCoordinator::operatorRecordsRead()
{
    if (readsForOthers())
        sendUpdates();
    else
        updateOperatorPollTimeout();
}

bool EstateCoordinator::hasRecentOperatorRecords() const
{
    const auto readAt = m_source.operatorRecordsReadAt();
    return readAt && m_clock.now() - *readAt <= updateTimeout();
}

void EstateCoordinator::instancesChanged()
{
    if (m_role == Role::Unknown) {
        // If all instances start at the same time, they are listed only after a short delay.
        const TimePoint at = m_settings.wholeSystemStarts ? m_startedAt + kFirstInstanceReadDelay
                                                          : m_clock.now();
        const Duration delay = at - m_clock.now();
        m_firstInstanceReadTimer = m_timers.after(std::max(delay, Duration::zero()),
                                                  [this] { m_source.readInstances(); });
        return;
    }
    m_instanceReadSkipped = reliesOnReader();
    if (!m_instanceReadSkipped)
        m_source.readInstances();
}

void EstateCoordinator::instancesRead(const IntrusivePtr<const InstanceList> &instances)
{
    // A former reader also sends the list to its followers, so that they find their new reader.
    publish(instances);
    sendUpdates();
}

void EstateCoordinator::platformRegained()
{
    if (m_failures == 0)
        return;
    if (readsForOthers() || !m_readerLink) {
        readNow();
        return;
    }
    // The reader has probably regained it too; its update saves a read of each follower.
    m_readTimer = m_timers.after(m_settings.maxPropagationDelay / kReaderHeadStartDivisor, [this] {
        if (m_failures > 0)
            readNow();
        else
            scheduleRead();
    });
}

void EstateCoordinator::whenUpToDate(std::function<void()> done)
{
    // While the platform cannot be read, waiting would not give a newer list.
    if (isRecent(updateTimeout()) || m_failures > 0) {
        done();
        return;
    }
    m_waitingRequests.push_back(std::move(done));
    if (m_waitingRequests.size() == 1)
        m_waitingRequestsTimer =
                m_timers.after(kMaxRequestWait, [this] { releaseWaitingRequests(); });
    m_source.readTargets();
}

void EstateCoordinator::releaseWaitingRequests()
{
    m_waitingRequestsTimer.reset();
    const auto waiting = std::move(m_waitingRequests);
    m_waitingRequests.clear();
    for (const auto &it : waiting)
        it();
}

void EstateCoordinator::markInUse()
{
    const TimePoint now = m_clock.now();
    const bool wasIdle = !m_lastUseAt || now - *m_lastUseAt >= kIdleAfter;
    m_lastUseAt = now;
    if (wasIdle)
        scheduleRead();
}

} // namespace lycheebay
