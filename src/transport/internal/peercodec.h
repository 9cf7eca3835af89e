#pragma once

#include "membership/membertable.h"
#include "platform/iplatformlog.h"
#include "transport/peertraffic.h"

#include <peer_generated.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace lycheebay {

inline constexpr std::uint16_t kPeerProtocolVersion = 1;
/// Value of Heartbeat.attestation_age_ms without an attestation.
inline constexpr std::uint32_t kNoAttestation = 0xffffffff;
/// Record batches with a larger encoding are sent in parts of this size.
inline constexpr std::size_t kBatchPartBytes = std::size_t{ 256 } << 10;
inline constexpr std::size_t kMaxBatchParts = 24;
inline constexpr std::size_t kMaxMembersPerHeartbeat = 16;
inline constexpr std::size_t kMaxVerdictsPerFrame = 1024;
inline constexpr std::size_t kMaxSuspectsPerFrame = 256;

/// Encodes one message as a frame. Thread-safe.
template <typename Message>
std::string encodeFrame(Message message)
{
    wire::FrameT frame;
    frame.version = kPeerProtocolVersion;
    frame.body.Set(std::move(message));
    flatbuffers::FlatBufferBuilder builder(256);
    builder.Finish(wire::Frame::Pack(builder, &frame));
    return { reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize() };
}

/// Verifies and decodes a frame. Errors: InvalidArgument with the reason. The memory size of the
/// result is at most a small multiple of the frame size. Thread-safe.
absl::StatusOr<wire::FrameT> decodeFrame(std::string_view bytes);

/// Returns the kind under which the traffic counters count a frame.
PeerMessageKind messageKind(wire::Body body);

wire::MemberEntryT toWire(const MemberUpdate &update);
MemberUpdate fromWire(const wire::MemberEntryT &entry);
wire::IdentityT toWireIdentity(const RosterMember &member, std::int64_t startedAtMs);
RosterMember fromWire(const wire::IdentityT &identity);
wire::RecordBatchT toWire(const LogBatch &batch);
LogBatch fromWire(const wire::RecordBatchT &batch);

} // namespace lycheebay
