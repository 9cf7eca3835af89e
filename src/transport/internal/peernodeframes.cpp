#include "base/log.h"
#include "transport/internal/peernodeimpl.h"

#include <fmt/format.h>

namespace lycheebay {

namespace {

constexpr int kMaxVerdictRequests = 2;

log4cplus::Logger &logger()
{
    static log4cplus::Logger instance = componentLogger("peer");
    return instance;
}

} // namespace

void PeerNode::Impl::linkOpened(LinkId link, bool outbound, const Address &remote)
{
    runLocked([&] {
        PeerLinkState &state = m_openLinks[link];
        state.outbound = outbound;
        state.remote = remote;
        state.openedAt = m_clock.now();
        wire::HelloT hello;
        hello.identity = std::make_unique<wire::IdentityT>(
                toWireIdentity(m_settings.self, m_settings.startedAtMs));
        sendFrame(link, state, PeerMessageKind::Hello, encodeFrame(std::move(hello)));
    });
}

void PeerNode::Impl::linkClosed(LinkId link)
{
    runLocked([&] {
        m_openLinks.erase(link);
        m_relay.removeLink(link);
        m_linksChanged = true;
    });
}

absl::Status PeerNode::Impl::frameReceived(LinkId link, std::string_view bytes)
{
    absl::StatusOr<wire::FrameT> frame = decodeFrame(bytes);
    if (!frame.ok())
        return frame.status();
    absl::Status status;
    runLocked([&] {
        const auto it = m_openLinks.find(link);
        if (it == m_openLinks.end() || m_stopped)
            return;
        PeerLinkState &state = it->second;
        const wire::Body kind = frame->body.type;
        if (!state.identified && kind != wire::Body::Hello) {
            status = absl::FailedPreconditionError("frame received before the hello");
            return;
        }
        state.lastFrame = m_clock.now();
        status = handle(link, *frame);
        countFrame(state, messageKind(kind), bytes.size(), false);
    });
    return status;
}

absl::Status PeerNode::Impl::handle(LinkId link, wire::FrameT &frame)
{
    switch (frame.body.type) {
    case wire::Body::Hello:
        return handleHello(link, *frame.body.AsHello());
    case wire::Body::Heartbeat:
        return handleHeartbeat(link, *frame.body.AsHeartbeat());
    case wire::Body::RecordBatch:
        handleRecords(link, *frame.body.AsRecordBatch());
        return absl::OkStatus();
    case wire::Body::RecordRequest:
        answerRequest(link, frame.body.AsRecordRequest()->from);
        return absl::OkStatus();
    case wire::Body::BatchPart:
        return handleBatchPart(link, *frame.body.AsBatchPart());
    case wire::Body::VerdictBatch:
        return handleVerdicts(link, *frame.body.AsVerdictBatch());
    case wire::Body::VerdictRequest:
        if (sharesRegion(m_openLinks.at(link)))
            sendVerdictsTo(link, m_openLinks.at(link), m_verdicts.all(m_clock.now()));
        return absl::OkStatus();
    case wire::Body::CrashSuspectBatch:
        handleSuspects(link, *frame.body.AsCrashSuspectBatch());
        return absl::OkStatus();
    case wire::Body::NONE:
        break;
    }
    return absl::InvalidArgumentError("unknown frame kind");
}

absl::Status PeerNode::Impl::handleHello(LinkId link, const wire::HelloT &hello)
{
    PeerLinkState &state = m_openLinks.at(link);
    if (state.identified)
        return absl::InvalidArgumentError("duplicate hello");
    MemberUpdate update;
    update.identity = fromWire(*hello.identity);
    update.startedAtMs = hello.identity->started_at_ms;
    const std::string &id = update.identity.instanceId;
    if (id == m_table.selfId()) {
        if (update.identity.incarnation == m_settings.self.incarnation)
            return absl::FailedPreconditionError("link to this instance itself");
        return absl::FailedPreconditionError("peer is another incarnation of this instance: " + id);
    }
    if (!m_table.mergeDirect(update, m_clock.now()))
        return absl::FailedPreconditionError("outdated incarnation of " + id);
    state.peer = update.identity;
    state.peerStartedAtMs = update.startedAtMs;
    if (!resolveDuplicateLinks(link, state))
        return absl::AlreadyExistsError("duplicate link to " + id);
    state.identified = true;
    m_linksChanged = true;
    sendInitialState(link, state);
    return absl::OkStatus();
}

bool PeerNode::Impl::resolveDuplicateLinks(LinkId link, const PeerLinkState &state)
{
    // Both ends keep the link that the instance with the lower id opened. Without a common rule,
    // each end could close the link that the other keeps.
    const auto openedByLower = [&](const PeerLinkState &candidate) {
        return candidate.outbound == (m_table.selfId() < state.peer.instanceId);
    };
    for (const auto &[other, existing] : m_openLinks) {
        if (other == link || !existing.identified
            || existing.peer.instanceId != state.peer.instanceId)
            continue;
        const bool sameIncarnation = existing.peer.incarnation == state.peer.incarnation;
        if (sameIncarnation && openedByLower(existing) && !openedByLower(state))
            return false;
        m_links.close(other, "replaced by a newer link");
    }
    return true;
}

void PeerNode::Impl::sendInitialState(LinkId link, PeerLinkState &state)
{
    const TimePoint now = m_clock.now();
    state.changeCursor = m_table.changeSequence();
    // A new peer may lack members or have outdated ones, so the first hash mismatch starts a
    // repair.
    state.hashMismatches = kMismatchesBeforeRepair - 1;
    sendHeartbeat(link, state, now);
    const auto suspects = m_suspects.visibleIn(state.peer.region, now);
    if (!suspects.empty())
        sendSuspectsTo(link, state, suspects);
    if (sharesRegion(state) && m_verdictRequests < kMaxVerdictRequests) {
        ++m_verdictRequests;
        sendFrame(link, state, PeerMessageKind::VerdictRequest,
                  encodeFrame(wire::VerdictRequestT()));
    }
}

absl::Status PeerNode::Impl::handleHeartbeat(LinkId link, const wire::HeartbeatT &heartbeat)
{
    PeerLinkState &state = m_openLinks.at(link);
    const TimePoint now = m_clock.now();
    const std::uint64_t changesBefore = m_table.changeSequence();
    MemberUpdate update;
    update.identity = state.peer;
    update.startedAtMs = state.peerStartedAtMs;
    update.heartbeat = heartbeat.number;
    update.leaving = heartbeat.leaving;
    if (!m_table.mergeDirect(update, now)) {
        return absl::FailedPreconditionError("outdated incarnation of " + state.peer.instanceId);
    }
    renewLease(state, heartbeat, now);
    state.echoNumber = heartbeat.number;
    state.echoAt = now;
    state.nextOffset = heartbeat.next_offset;
    for (const auto &entry : heartbeat.members)
        m_table.mergeRelayed(fromWire(*entry), now);
    const bool agrees = heartbeat.state_hash == m_table.stateHash();
    state.hashMismatches = agrees ? 0 : state.hashMismatches + 1;
    m_relay.advancePeerOffset(link, heartbeat.next_offset);
    exchangeRecords(now);
    if (m_table.changeSequence() != changesBefore) {
        publishPlan();
        sendHeartbeats(now);
    }
    return absl::OkStatus();
}

void PeerNode::Impl::renewLease(const PeerLinkState &state, const wire::HeartbeatT &heartbeat,
                                TimePoint now)
{
    // The peer sent this frame at the earliest echo_held_ms after the echoed heartbeat was sent
    // here. This bounds the age of the frame by the local clock, however long the frame waited in
    // buffers or this process was paused.
    const std::optional<TimePoint> echoed = state.heartbeatSentAt(heartbeat.echo_number);
    if (!echoed)
        return;
    const TimePoint sentAt = *echoed + std::chrono::milliseconds(heartbeat.echo_held_ms);
    if (sharesRegion(state))
        m_lease.regionPeerHeard(sentAt, heartbeat.next_offset, now);
    if (heartbeat.attestation_age_ms == kNoAttestation)
        return;
    const auto age = std::chrono::milliseconds(heartbeat.attestation_age_ms);
    m_lease.attestationRelayed(sentAt - age, heartbeat.next_offset, now);
}

void PeerNode::Impl::handleRecords(LinkId link, const wire::RecordBatchT &records)
{
    const LogBatch batch = fromWire(records);
    m_relay.advancePeerOffset(link, batch.next);
    m_deferredActions.emplace_back([this, link, batch] { offerToFollower(link, batch); });
}

absl::Status PeerNode::Impl::handleBatchPart(LinkId link, const wire::BatchPartT &part)
{
    PeerLinkState::Transfer &transfer = m_openLinks.at(link).transfer;
    if (part.index == 0)
        transfer = { part.transfer, 0, {} };
    if (part.transfer != transfer.id || part.index != transfer.nextIndex)
        return absl::InvalidArgumentError("batch part out of order");
    transfer.data.append(part.data.begin(), part.data.end());
    ++transfer.nextIndex;
    if (transfer.nextIndex < part.count)
        return absl::OkStatus();
    const std::string data = std::exchange(transfer, {}).data;
    const absl::StatusOr<wire::FrameT> frame = decodeFrame(data);
    if (!frame.ok())
        return frame.status();
    if (frame->body.type != wire::Body::RecordBatch)
        return absl::InvalidArgumentError("batch parts do not contain a record batch");
    handleRecords(link, *frame->body.AsRecordBatch());
    return absl::OkStatus();
}

absl::Status PeerNode::Impl::handleVerdicts(LinkId link, const wire::VerdictBatchT &batch)
{
    if (!sharesRegion(m_openLinks.at(link)))
        return absl::FailedPreconditionError("target verdicts from another region");
    std::vector<StampedVerdict> received;
    for (const auto &entry : batch.verdicts) {
        TargetVerdict verdict{ entry->target_id, entry->ejected, entry->cold, entry->draining };
        verdict.nextTrialIn = std::chrono::milliseconds(entry->next_trial_in_ms);
        constexpr std::uint32_t kMaxEjections = 1000;
        verdict.ejections = static_cast<int>(std::min(entry->ejections, kMaxEjections));
        received.push_back({ verdict, entry->stamp, entry->origin });
    }
    const std::vector<StampedVerdict> newer = m_verdicts.merge(received, m_clock.now());
    if (newer.empty())
        return absl::OkStatus();
    sendVerdicts(newer, link);
    std::vector<TargetVerdict> verdicts;
    verdicts.reserve(newer.size());
    for (const StampedVerdict &stamped : newer)
        verdicts.push_back(stamped.verdict);
    if (m_callbacks.verdictsReceived)
        m_deferredActions.emplace_back(
                [this, verdicts] { m_callbacks.verdictsReceived(verdicts); });
    return absl::OkStatus();
}

void PeerNode::Impl::handleSuspects(LinkId link, const wire::CrashSuspectBatchT &batch)
{
    std::vector<SharedCrashSuspect> received;
    for (const auto &entry : batch.suspects) {
        if (!isVisibleInRegion(entry->home_regions, m_settings.self.region)) {
            LOG4CPLUS_WARN_FMT(
                    logger(),
                    "ignored a crash suspect from %s: this region is not one of its home regions",
                    m_openLinks.at(link).peer.instanceId.c_str());
            continue;
        }
        constexpr std::uint32_t kMaxCrashCount = 1000;
        const int crashCount = static_cast<int>(std::min(entry->strikes, kMaxCrashCount));
        received.push_back({ entry->fingerprint, crashCount,
                             std::chrono::milliseconds(entry->expires_in_ms),
                             entry->home_regions });
    }
    const std::vector<SharedCrashSuspect> changed = m_suspects.merge(received, m_clock.now());
    if (changed.empty())
        return;
    sendSuspects(changed, link);
    if (m_callbacks.crashSuspectsReceived)
        m_deferredActions.emplace_back(
                [this, changed] { m_callbacks.crashSuspectsReceived(changed); });
}

} // namespace lycheebay
