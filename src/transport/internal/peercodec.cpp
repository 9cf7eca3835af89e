#include "transport/internal/peercodec.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheebay {

namespace {

constexpr flatbuffers::uoffset_t kMaxDepth = 8;
constexpr flatbuffers::uoffset_t kMaxTables = 16384;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxMembersAccepted = 64;
constexpr std::size_t kMaxHomeRegions = 64;

// In a FlatBuffer, several offsets may refer to the same string, so that a small malicious frame
// could unpack to gigabytes. The limits below are checked before anything is unpacked.

bool isShort(const flatbuffers::String *text)
{
    return text->size() <= kMaxNameBytes;
}

bool isWithinLimits(const wire::Identity &identity)
{
    return isShort(identity.instance_id()) && identity.instance_id()->size() > 0
           && isShort(identity.region()) && isShort(identity.failure_domain())
           && isShort(identity.http_host()) && isShort(identity.peer_host());
}

template <typename Vector, typename Predicate>
bool allOf(const Vector *elements, std::size_t maxCount, Predicate predicate)
{
    if (!elements)
        return true;
    return elements->size() <= maxCount
           && std::all_of(elements->begin(), elements->end(), predicate);
}

bool isWithinLimits(const wire::Heartbeat &heartbeat)
{
    return allOf(heartbeat.members(), kMaxMembersAccepted, [](const wire::MemberEntry *entry) {
        return isWithinLimits(*entry->identity()) && entry->state() <= wire::State::MAX;
    });
}

bool isWithinLimits(const wire::RecordBatch &batch, std::size_t frameBytes)
{
    std::size_t total = 0;
    return allOf(batch.records(), kMaxTables, [&](const wire::Record *record) {
        total += record->data()->size();
        return total <= frameBytes;
    });
}

bool isWithinLimits(const wire::VerdictBatch &batch)
{
    return allOf(batch.verdicts(), kMaxVerdictsPerFrame,
                 [](const wire::Verdict *verdict) { return isShort(verdict->target_id()); });
}

bool isWithinLimits(const wire::CrashSuspectBatch &batch)
{
    return allOf(batch.suspects(), kMaxSuspectsPerFrame, [](const wire::CrashSuspect *suspect) {
        return allOf(suspect->home_regions(), kMaxHomeRegions, isShort);
    });
}

bool isWithinLimits(const wire::BatchPart &part)
{
    return part.count() <= kMaxBatchParts && part.index() < part.count()
           && part.data()->size() <= kBatchPartBytes;
}

bool isWithinLimits(const wire::Frame &frame, std::size_t frameBytes)
{
    switch (frame.body_type()) {
    case wire::Body::Hello:
        return isWithinLimits(*frame.body_as_Hello()->identity());
    case wire::Body::Heartbeat:
        return isWithinLimits(*frame.body_as_Heartbeat());
    case wire::Body::RecordBatch:
        return isWithinLimits(*frame.body_as_RecordBatch(), frameBytes);
    case wire::Body::BatchPart:
        return isWithinLimits(*frame.body_as_BatchPart());
    case wire::Body::VerdictBatch:
        return isWithinLimits(*frame.body_as_VerdictBatch());
    case wire::Body::CrashSuspectBatch:
        return isWithinLimits(*frame.body_as_CrashSuspectBatch());
    case wire::Body::RecordRequest:
    case wire::Body::VerdictRequest:
        return true;
    case wire::Body::NONE:
        return false;
    }
    return false;
}

} // namespace

absl::StatusOr<wire::FrameT> decodeFrame(std::string_view bytes)
{
    // The verifier reads in place, and socket buffers have no guaranteed alignment.
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    constexpr bool kCheckAlignment = false;
    flatbuffers::Verifier verifier(data, bytes.size(), kMaxDepth, kMaxTables, kCheckAlignment);
    if (!wire::VerifyFrameBuffer(verifier))
        return absl::InvalidArgumentError(fmt::format("malformed frame of {} bytes", bytes.size()));
    const wire::Frame *frame = wire::GetFrame(data);
    if (frame->version() != kPeerProtocolVersion) {
        return absl::InvalidArgumentError(
                fmt::format("unsupported protocol version {}, expected {}", frame->version(),
                            kPeerProtocolVersion));
    }
    if (!isWithinLimits(*frame, bytes.size())) {
        return absl::InvalidArgumentError(fmt::format("frame of kind {} exceeds a limit",
                                                      static_cast<int>(frame->body_type())));
    }
    wire::FrameT result;
    frame->UnPackTo(&result);
    return result;
}

PeerMessageKind messageKind(wire::Body body)
{
    switch (body) {
    case wire::Body::Heartbeat:
        return PeerMessageKind::Heartbeat;
    case wire::Body::RecordBatch:
    case wire::Body::BatchPart:
        return PeerMessageKind::Records;
    case wire::Body::RecordRequest:
        return PeerMessageKind::RecordRequest;
    case wire::Body::VerdictBatch:
        return PeerMessageKind::Verdicts;
    case wire::Body::VerdictRequest:
        return PeerMessageKind::VerdictRequest;
    case wire::Body::CrashSuspectBatch:
        return PeerMessageKind::CrashSuspects;
    case wire::Body::NONE:
    case wire::Body::Hello:
        return PeerMessageKind::Hello;
    }
    return PeerMessageKind::Hello;
}

wire::IdentityT toWireIdentity(const RosterMember &member, std::int64_t startedAtMs)
{
    wire::IdentityT identity;
    identity.instance_id = member.instanceId;
    identity.incarnation = member.incarnation;
    identity.started_at_ms = startedAtMs;
    identity.region = member.region;
    identity.failure_domain = member.failureDomain;
    identity.http_host = member.http.host;
    identity.http_port = member.http.port;
    identity.peer_host = member.peer.host;
    identity.peer_port = member.peer.port;
    identity.joined_at = member.joinedAt;
    return identity;
}

RosterMember fromWire(const wire::IdentityT &identity)
{
    RosterMember member;
    member.instanceId = identity.instance_id;
    member.incarnation = identity.incarnation;
    member.region = identity.region;
    member.failureDomain = identity.failure_domain;
    member.http = { identity.http_host, identity.http_port };
    member.peer = { identity.peer_host, identity.peer_port };
    member.joinedAt = identity.joined_at;
    return member;
}

wire::MemberEntryT toWire(const MemberUpdate &update)
{
    wire::MemberEntryT entry;
    entry.identity =
            std::make_unique<wire::IdentityT>(toWireIdentity(update.identity, update.startedAtMs));
    entry.heartbeat = update.heartbeat;
    entry.state = static_cast<wire::State>(update.state);
    entry.leaving = update.leaving;
    return entry;
}

MemberUpdate fromWire(const wire::MemberEntryT &entry)
{
    MemberUpdate update;
    update.identity = fromWire(*entry.identity);
    update.startedAtMs = entry.identity->started_at_ms;
    update.heartbeat = entry.heartbeat;
    update.state = static_cast<MemberState>(entry.state);
    update.leaving = entry.leaving;
    return update;
}

wire::RecordBatchT toWire(const LogBatch &batch)
{
    wire::RecordBatchT result;
    result.first = batch.first;
    result.from = batch.from;
    result.next = batch.next;
    for (const LogRecord &record : batch.records) {
        auto copy = std::make_unique<wire::RecordT>();
        copy->offset = record.offset;
        copy->data = record.data;
        result.records.push_back(std::move(copy));
    }
    return result;
}

LogBatch fromWire(const wire::RecordBatchT &batch)
{
    LogBatch result;
    result.first = batch.first;
    result.from = batch.from;
    result.next = batch.next;
    for (const auto &record : batch.records)
        result.records.push_back({ record->offset, record->data });
    return result;
}

} // namespace lycheebay
