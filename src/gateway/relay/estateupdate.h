#pragma once

#include "gateway/estateview.h"
#include "gateway/relay/operatorrecords.h"
#include "gateway/relay/recordcompressor.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheebay {

/// Difference between two lists of elements that are identified by `id`.
template <typename T>
struct ListDiff
{
    /// New or changed elements.
    std::vector<T> upserted;
    /// Ids of removed elements.
    std::vector<std::string> removed;

    bool empty() const { return upserted.empty() && removed.empty(); }

    auto operator<=>(const ListDiff &) const = default;
};

using TargetListDiff = ListDiff<TargetRecord>;
using InstanceListDiff = ListDiff<GatewayInstance>;

/// Returns the changes that turn \a from into \a to. Precondition: both are sorted by id.
/// Thread-safe.
TargetListDiff computeDiff(const std::vector<TargetRecord> &from,
                           const std::vector<TargetRecord> &to);
InstanceListDiff computeDiff(const std::vector<GatewayInstance> &from,
                             const std::vector<GatewayInstance> &to);

/// Applies a diff. Precondition: the list is sorted by id; it stays so. Thread-safe for different
/// lists.
void applyDiff(std::vector<TargetRecord> &list, const TargetListDiff &diff);
void applyDiff(std::vector<GatewayInstance> &list, const InstanceListDiff &diff);

/// Incremental update that an instance which reads the platform sends to the other instances of its
/// region. The records and lists contain the changes since the previous update on the same link.
struct EstateUpdate
{
    /// Start of the read that produced this state, on the clock of the instance that holds the
    /// update.
    TimePoint asOf;
    OperatorRecords operatorRecords;
    /// Position up to which the platform's list of targets was read.
    LogPosition targetsPosition;
    /// Null if the sender does not know the list yet.
    std::optional<TargetListDiff> targets;
    std::optional<InstanceListDiff> instances;
    /// The shares in force in the region, all of them.
    std::vector<LocalShare> localShares;
    /// Only in a frame to the reader, which contains nothing else: what the sender has counted
    /// since its previous frame.
    int placed = 0;
    std::vector<RegionOverflow> overflow;
    /// What instances have observed; only in a frame that contains nothing else, in either
    /// direction.
    Observations observations;
    /// Region of the sender, in the first frame of a link that only exchanges reports; empty
    /// otherwise.
    std::string exchangeRegion;

    auto operator<=>(const EstateUpdate &) const = default;
};

/// Completes the positions of an update that name no era, as those of an instance of an earlier
/// version: they are taken for positions of the eras of \a operatorPosition and
/// \a targetsPosition, which the receiver knows. Thread-safe for different updates.
void assumeEras(EstateUpdate &update, const LogPosition &operatorPosition,
                const LogPosition &targetsPosition);

/// Encodes an update as a frame. Durations are rounded up to milliseconds. Thread-safe for
/// different compressors.
std::string encodeUpdate(const EstateUpdate &update, TimePoint now, RecordCompressor &compressor);

/// Decodes a frame and converts its times to the clock of this instance. Errors: InvalidArgument
/// with the reason. Thread-safe.
absl::StatusOr<EstateUpdate> decodeUpdate(std::string_view frame, TimePoint now);

} // namespace lycheebay
