#include "base/log.h"
#include "transport/internal/peernodeimpl.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheebay {

namespace {

// Changes are sent at once, but many changes in a short time are batched.
constexpr Duration kMinHeartbeatSpacing = std::chrono::milliseconds(20);
// Repair pages list members in heartbeats. The full pages cover some thousand members over all
// links. A difference that remains is repaired slowly, to stay within the 5 KB/s allotted to
// control traffic.
constexpr std::size_t kRepairPageMembers = 32;
constexpr int kFullRepairPages = 16;
constexpr std::size_t kSlowRepairPageMembers = 4;
constexpr int kSlowRepairInterval = 8;
constexpr std::size_t kMaxBatchRecords = 256;

log4cplus::Logger &logger()
{
    static log4cplus::Logger instance = componentLogger("peer");
    return instance;
}

std::uint32_t roundedDownMs(Duration duration)
{
    const auto ms = std::chrono::floor<std::chrono::milliseconds>(duration).count();
    constexpr std::int64_t kMax = 0x7fffffff;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, kMax));
}

std::uint32_t roundedUpMs(Duration duration)
{
    return roundedDownMs(duration + std::chrono::milliseconds(1) - Duration(1));
}

} // namespace

void PeerNode::Impl::countFrame(PeerLinkState &state, PeerMessageKind kind, std::size_t size,
                                bool out)
{
    constexpr std::size_t kLengthPrefix = 4;
    const std::uint64_t bytes = size + kLengthPrefix;
    const bool between = state.identified && !sharesRegion(state);
    PeerTraffic::ByKind &side = between ? m_traffic.betweenRegions : m_traffic.inRegion;
    PeerMessageTraffic &traffic = side[static_cast<std::size_t>(kind)];
    (out ? traffic.framesOut : traffic.framesIn) += 1;
    (out ? traffic.bytesOut : traffic.bytesIn) += bytes;
    (out ? state.bytesOut : state.bytesIn) += bytes;
}

void PeerNode::Impl::sendFrame(LinkId link, PeerLinkState &state, PeerMessageKind kind,
                               std::string frame)
{
    countFrame(state, kind, frame.size(), true);
    m_links.send(link, std::move(frame));
}

void PeerNode::Impl::sendHeartbeats(TimePoint now)
{
    for (auto &[link, state] : m_openLinks) {
        if (!state.identified)
            continue;
        const Duration sinceLast = now - state.lastHeartbeatSent;
        const bool due = sinceLast >= m_settings.heartbeatPeriod;
        const bool hasChanges = state.changeCursor < m_table.changeSequence();
        if (due || (hasChanges && sinceLast >= kMinHeartbeatSpacing))
            sendHeartbeat(link, state, now);
    }
}

std::size_t PeerNode::Impl::repairPageSize(const PeerLinkState &state) const
{
    const int mismatches = state.hashMismatches;
    if (mismatches < kMismatchesBeforeRepair)
        return 0;
    if (mismatches < kMismatchesBeforeRepair + kFullRepairPages)
        return kRepairPageMembers;
    return mismatches % kSlowRepairInterval == 0 ? kSlowRepairPageMembers : 0;
}

void PeerNode::Impl::sendHeartbeat(LinkId link, PeerLinkState &state, TimePoint now)
{
    wire::HeartbeatT heartbeat;
    heartbeat.number = m_table.beginHeartbeat();
    heartbeat.leaving = m_table.self().update.leaving;
    heartbeat.next_offset = m_ownOffset;
    if (const std::optional<Duration> age = m_lease.attestationAge(now))
        heartbeat.attestation_age_ms = roundedUpMs(*age);
    heartbeat.echo_number = state.echoNumber;
    heartbeat.echo_held_ms = state.echoNumber == 0 ? 0 : roundedDownMs(now - state.echoAt);
    heartbeat.state_hash = m_table.stateHash();
    for (const MemberUpdate &update :
         m_table.changesAfter(state.changeCursor, kMaxMembersPerHeartbeat))
        heartbeat.members.push_back(std::make_unique<wire::MemberEntryT>(toWire(update)));
    if (const std::size_t count = repairPageSize(state)) {
        for (const MemberUpdate &update : m_table.membersAfter(m_repairCursor, count))
            heartbeat.members.push_back(std::make_unique<wire::MemberEntryT>(toWire(update)));
    }
    state.recordSentHeartbeat(heartbeat.number, now);
    sendFrame(link, state, PeerMessageKind::Heartbeat, encodeFrame(std::move(heartbeat)));
}

void PeerNode::Impl::shareVerdicts(const std::vector<TargetVerdict> &verdicts)
{
    constexpr LinkId kNoLink = 0;
    runLocked([&] { sendVerdicts(m_verdicts.record(verdicts, m_clock.now()), kNoLink); });
}

void PeerNode::Impl::sendVerdicts(const std::vector<StampedVerdict> &verdicts, LinkId except)
{
    if (verdicts.empty())
        return;
    for (auto &[link, state] : m_openLinks) {
        if (link != except && sharesRegion(state))
            sendVerdictsTo(link, state, verdicts);
    }
}

void PeerNode::Impl::sendVerdictsTo(LinkId link, PeerLinkState &state,
                                    const std::vector<StampedVerdict> &verdicts)
{
    for (std::size_t begin = 0; begin < verdicts.size(); begin += kMaxVerdictsPerFrame) {
        wire::VerdictBatchT batch;
        const std::size_t end = std::min(verdicts.size(), begin + kMaxVerdictsPerFrame);
        for (std::size_t i = begin; i < end; ++i) {
            const TargetVerdict &verdict = verdicts[i].verdict;
            auto entry = std::make_unique<wire::VerdictT>();
            entry->target_id = verdict.targetId;
            entry->stamp = verdicts[i].stamp;
            entry->origin = verdicts[i].origin;
            entry->ejected = verdict.ejected;
            entry->cold = verdict.cold;
            entry->draining = verdict.draining;
            entry->next_trial_in_ms = roundedUpMs(verdict.nextTrialIn);
            entry->ejections = static_cast<std::uint32_t>(std::max(0, verdict.ejections));
            batch.verdicts.push_back(std::move(entry));
        }
        sendFrame(link, state, PeerMessageKind::Verdicts, encodeFrame(std::move(batch)));
    }
}

void PeerNode::Impl::shareCrashSuspects(const std::vector<SharedCrashSuspect> &suspects)
{
    constexpr LinkId kNoLink = 0;
    runLocked([&] { sendSuspects(m_suspects.merge(suspects, m_clock.now()), kNoLink); });
}

void PeerNode::Impl::sendSuspects(const std::vector<SharedCrashSuspect> &suspects, LinkId except)
{
    for (auto &[link, state] : m_openLinks) {
        if (link != except && state.identified)
            sendSuspectsTo(link, state, suspects);
    }
}

void PeerNode::Impl::sendSuspectsTo(LinkId link, PeerLinkState &state,
                                    const std::vector<SharedCrashSuspect> &suspects)
{
    wire::CrashSuspectBatchT batch;
    const auto flush = [&] {
        if (!batch.suspects.empty())
            sendFrame(link, state, PeerMessageKind::CrashSuspects, encodeFrame(std::move(batch)));
        batch = wire::CrashSuspectBatchT();
    };
    for (const SharedCrashSuspect &suspect : suspects) {
        if (!isVisibleInRegion(suspect.homeRegions, state.peer.region))
            continue;
        auto entry = std::make_unique<wire::CrashSuspectT>();
        entry->fingerprint = suspect.fingerprint;
        entry->strikes = static_cast<std::uint32_t>(std::max(0, suspect.crashCount));
        entry->expires_in_ms = roundedUpMs(suspect.expiresIn);
        entry->home_regions = suspect.homeRegions;
        batch.suspects.push_back(std::move(entry));
        if (batch.suspects.size() == kMaxSuspectsPerFrame)
            flush();
    }
    flush();
}

void PeerNode::Impl::exchangeRecords(TimePoint now)
{
    const std::vector<ConfigurationRelay::Push> pushes = m_relay.takeDuePushes(m_ownOffset);
    if (!pushes.empty())
        m_deferredActions.emplace_back([this, pushes] { pushRecords(pushes); });
    const std::optional<LinkId> peer = m_relay.takeDueRequest(m_ownOffset, now);
    const auto it = peer ? m_openLinks.find(*peer) : m_openLinks.end();
    if (it == m_openLinks.end())
        return;
    wire::RecordRequestT request;
    request.from = m_ownOffset;
    sendFrame(it->first, it->second, PeerMessageKind::RecordRequest, encodeFrame(request));
}

void PeerNode::Impl::pushRecords(const std::vector<ConfigurationRelay::Push> &pushes)
{
    std::map<std::uint64_t, LogBatch> batches;
    for (const ConfigurationRelay::Push &push : pushes) {
        const auto [it, isNew] = batches.try_emplace(push.from);
        if (isNew)
            it->second = m_follower.recordsFrom(push.from, kMaxBatchRecords);
        sendBatch(push.link, it->second);
    }
}

void PeerNode::Impl::answerRequest(LinkId link, std::uint64_t from)
{
    m_deferredActions.emplace_back([this, link, from] {
        const LogBatch batch = m_follower.recordsFrom(from, kMaxBatchRecords);
        sendBatch(link, batch);
        runLocked([&] {
            if (m_openLinks.contains(link))
                m_relay.recordAnswer(link, batch.next);
        });
    });
}

void PeerNode::Impl::sendBatch(LinkId link, const LogBatch &batch)
{
    const std::string frame = encodeFrame(toWire(batch));
    const std::size_t parts = (frame.size() + kBatchPartBytes - 1) / kBatchPartBytes;
    runLocked([&] {
        const auto it = m_openLinks.find(link);
        if (it == m_openLinks.end())
            return;
        if (parts == 1) {
            sendFrame(link, it->second, PeerMessageKind::Records, frame);
            return;
        }
        if (parts > kMaxBatchParts) {
            LOG4CPLUS_ERROR_FMT(logger(), "record batch of %zu bytes is too large to send",
                                frame.size());
            return;
        }
        const std::uint64_t transfer = m_nextTransfer++;
        for (std::size_t i = 0; i < parts; ++i) {
            wire::BatchPartT part;
            part.transfer = transfer;
            part.index = static_cast<std::uint32_t>(i);
            part.count = static_cast<std::uint32_t>(parts);
            const std::string piece = frame.substr(i * kBatchPartBytes, kBatchPartBytes);
            part.data.assign(piece.begin(), piece.end());
            sendFrame(link, it->second, PeerMessageKind::Records, encodeFrame(std::move(part)));
        }
    });
}

void PeerNode::Impl::offerToFollower(LinkId link, const LogBatch &batch)
{
    const absl::Status status = m_follower.offer(batch);
    const bool gap = absl::IsOutOfRange(status);
    if (!status.ok() && !gap) {
        LOG4CPLUS_WARN_FMT(logger(), "ignored records from link %llu: %s",
                           static_cast<unsigned long long>(link),
                           std::string(status.message()).c_str());
    }
    const TimePoint now = m_clock.now();
    const std::uint64_t ownOffset = m_follower.nextOffset();
    m_lease.setOwnOffset(ownOffset, now);
    runLocked([&] {
        m_ownOffset = std::max(m_ownOffset, ownOffset);
        exchangeRecords(now);
    });
}

} // namespace lycheebay
