#include "base/log.h"
#include "gateway/relay/estatecoordinator.h"

#include <algorithm>

namespace lycheebay {

namespace {

/// Returns the changes since the list was last sent, and notes the new one as sent.
template <typename T>
ListDiff<T> syncList(std::optional<std::vector<T>> &sent, const std::vector<T> &current)
{
    if (!sent)
        sent.emplace();
    ListDiff<T> diff = computeDiff(*sent, current);
    // Most updates change nothing; the list is then not copied.
    if (!diff.empty())
        *sent = current;
    return diff;
}

template <typename T>
void applyReceived(std::optional<std::vector<T>> &list, const std::optional<ListDiff<T>> &diff)
{
    if (!diff)
        return;
    if (!list)
        list.emplace();
    applyDiff(*list, *diff);
}

} // namespace

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

void EstateCoordinator::sendUpdates()
{
    for (const auto &[link, state] : m_followers)
        sendUpdateTo(link);
}

void EstateCoordinator::sendUpdateTo(LinkId link)
{
    // A list that may contain removed targets could overwrite a better list at a follower.
    if (!m_asOf || !m_targetsUpToDate || !hasRecentOperatorRecords())
        return;
    SyncedState &sent = m_followers[link];
    EstateUpdate update;
    // Followers rely on the update for the targets and the operator's records alike.
    update.asOf = std::min(*m_asOf, *m_source.operatorRecordsReadAt());
    update.operatorRecords = m_source.operatorRecordsSince(sent.operatorRecordsRevision);
    update.targetsPosition = m_source.targetsPosition();
    sent.operatorRecordsRevision = m_source.operatorRecordsRevision();
    if (const auto targets = m_blackboard.targets.read())
        update.targets = syncList(sent.targets, targets->targets);
    if (const auto instances = m_blackboard.instances.read())
        update.instances = syncList(sent.instances, instances->instances);
    if (const auto shares = m_blackboard.localShares.read())
        update.localShares = shares->shares;
    m_links.send(link, encodeUpdate(update, m_clock.now(), m_compressor));
}

void EstateCoordinator::sendOverflowToReader(const OverflowCounts &counts)
{
    if (!m_readerLink)
        return;
    EstateUpdate update;
    update.asOf = m_clock.now();
    update.placed = counts.placed;
    update.overflow = counts.regions;
    m_links.send(*m_readerLink, encodeUpdate(update, m_clock.now(), m_compressor));
}

std::string EstateCoordinator::encodeObservations(const Observations &observations)
{
    EstateUpdate update;
    update.asOf = m_clock.now();
    update.observations = observations;
    return encodeUpdate(update, m_clock.now(), m_compressor);
}

void EstateCoordinator::sendReport(const Observations &report, std::optional<LinkId> source)
{
    const std::string frame = encodeObservations(report);
    for (const auto &[link, state] : m_followers) {
        if (link != source)
            m_links.send(link, frame);
    }
    if (m_readerLink && m_readerLink != source)
        m_links.send(*m_readerLink, frame);
    for (const auto &[link, region] : m_exchangeLinks) {
        const Observations visible = visibleIn(region, report);
        if (link != source && !visible.empty())
            m_links.send(link, encodeObservations(visible));
    }
}

Observations EstateCoordinator::visibleIn(const std::string &region, Observations observations)
{
    std::erase_if(observations.crashSuspects, [&](const SharedSuspect &it) {
        const auto &homes = it.homeRegions;
        return !homes.empty() && std::find(homes.begin(), homes.end(), region) == homes.end();
    });
    return observations;
}

void EstateCoordinator::exchangeLinkOpened(LinkId link, const std::string &region)
{
    m_exchangeLinks[link] = region;
    EstateUpdate update;
    update.asOf = m_clock.now();
    update.exchangeRegion = m_settings.region;
    update.observations = visibleIn(region, m_reports.current(m_clock.now()));
    m_links.send(link, encodeUpdate(update, m_clock.now(), m_compressor));
}

void EstateCoordinator::exchangeFrameReceived(LinkId link, const EstateUpdate &update)
{
    if (!update.exchangeRegion.empty())
        m_exchangeLinks[link] = update.exchangeRegion;
    // It was taken for a follower that needs updates.
    if (m_followers.erase(link) > 0 && !readsForOthers()) {
        updateOperatorPollTimeout();
        scheduleRead();
    }
    reportReceived(link, update);
}

bool EstateCoordinator::reportReceived(LinkId link, const EstateUpdate &update)
{
    if (update.observations.empty())
        return false;
    // What is known is not passed on, so that reports cannot circulate, and an instance does not
    // take its own report for one of another instance.
    const IntrusivePtr<const InstanceReport> added =
            makeRef<InstanceReport>(m_reports.add(update.observations, m_clock.now()));
    if (added->empty())
        return true;
    sendReport(*added, link);
    m_blackboard.peerReports.publish(added);
    return true;
}

absl::Status EstateCoordinator::followerFrameReceived(LinkId link, std::string_view frame)
{
    const auto update = decodeUpdate(frame, m_clock.now());
    if (!update.ok())
        return update.status();
    if (update->targets || update->instances || !update->operatorRecords.records.empty())
        return absl::InvalidArgumentError("update from an instance that is not the reader");
    if (!update->exchangeRegion.empty()) {
        exchangeFrameReceived(link, *update);
        return absl::OkStatus();
    }
    if (reportReceived(link, *update))
        return absl::OkStatus();
    OverflowCounts counts;
    counts.placed = update->placed;
    counts.regions = update->overflow;
    m_spillover.addCounts(counts);
    return absl::OkStatus();
}

void EstateCoordinator::linkOpened(LinkId link, bool outbound, const Address &remote)
{
    if (outbound && m_role == Role::Reader) {
        const auto partners = exchangePartners();
        const auto partner = partners.find(remote);
        exchangeLinkOpened(link, partner == partners.end() ? std::string() : partner->second);
        return;
    }
    if (outbound) {
        m_readerLink = link;
        LOG4CPLUS_INFO(m_logger,
                       "event=dependency_regained dependency=reader address=" << remote.toString());
        sendKnownReports(link);
        return;
    }
    const std::string region = regionOf(remote.host);
    if (!region.empty() && region != m_settings.region) {
        exchangeLinkOpened(link, region);
        return;
    }
    const bool alreadyReading = readsForOthers();
    m_followers[link] = SyncedState();
    if (!alreadyReading) {
        updateOperatorPollTimeout();
        m_source.readTargets();
    }
    // They come first: an instance that has just started serves as soon as it has an update.
    sendKnownReports(link);
    sendUpdateTo(link);
}

void EstateCoordinator::sendKnownReports(LinkId link)
{
    const Observations reported = m_reports.current(m_clock.now());
    if (reported.empty())
        return;
    LOG4CPLUS_INFO(m_logger, "event=reports_sent link="
                                     << link << " suspects=" << reported.crashSuspects.size()
                                     << " leaving=" << reported.leavingTargets.size());
    m_links.send(link, encodeObservations(reported));
}

absl::Status EstateCoordinator::frameReceived(LinkId link, std::string_view frame)
{
    if (m_followers.contains(link))
        return followerFrameReceived(link, frame);
    const bool isExchange = m_exchangeLinks.contains(link);
    if (!isExchange && m_readerLink != link)
        return absl::InvalidArgumentError("update from an instance that is not the reader");
    auto update = decodeUpdate(frame, m_clock.now());
    if (!update.ok())
        return update.status();
    assumeEras(*update, m_source.operatorRecordsPosition(), m_source.targetsPosition());
    if (isExchange) {
        exchangeFrameReceived(link, *update);
        return absl::OkStatus();
    }
    if (reportReceived(link, *update))
        return absl::OkStatus();
    m_source.applyOperatorRecords(update->operatorRecords);
    applyReceived(m_received.targets, update->targets);
    applyReceived(m_received.instances, update->instances);
    // This instance has read a newer state itself; a later update will be newer than that.
    if (m_asOf && update->asOf < *m_asOf)
        return absl::OkStatus();
    m_asOf = update->asOf;
    m_lastUpdateAsOf = update->asOf;
    m_failures = 0;
    updateOperatorPollTimeout();
    publishReceived(*update);
    m_spillover.adoptShares(update->localShares);
    releaseWaitingRequests();
    return absl::OkStatus();
}

void EstateCoordinator::publishReceived(const EstateUpdate &update)
{
    // Most updates change nothing; the lists are then not copied.
    if (m_received.targets)
        publishReceivedTargets(update);
    if (m_received.instances)
        publishReceivedInstances();
}

void EstateCoordinator::publishReceivedTargets(const EstateUpdate &update)
{
    auto targets = m_blackboard.targets.read();
    if (!targets || targets->targets != *m_received.targets) {
        auto list = makeRef<TargetList>();
        list->targets = *m_received.targets;
        targets = IntrusivePtr<const TargetList>(list);
    }
    m_source.adoptTargets(*targets, update.targetsPosition, update.asOf);
    publish(targets);
}

void EstateCoordinator::publishReceivedInstances()
{
    const auto instances = m_blackboard.instances.read();
    if (instances && instances->instances == *m_received.instances)
        return;
    auto list = makeRef<InstanceList>();
    list->instances = *m_received.instances;
    publish(IntrusivePtr<const InstanceList>(list));
}

void EstateCoordinator::linkClosed(LinkId link)
{
    m_exchangeLinks.erase(link);
    if (m_followers.erase(link) > 0 && !readsForOthers()) {
        updateOperatorPollTimeout();
        scheduleRead();
    }
    if (m_readerLink != link)
        return;
    m_readerLink.reset();
    suspectReader("link_closed");
}

} // namespace lycheebay
