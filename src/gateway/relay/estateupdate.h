#pragma once

#include "gateway/estateview.h"
#include "gateway/relay/operatorrecords.h"
#include "gateway/relay/recordcompressor.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace lycheebay {

/// Difference between two lists whose elements have an `id`.
template <typename T>
struct ListChange
{
    /// New or changed elements.
    std::vector<T> put;
    /// Ids of elements that are gone.
    std::vector<std::string> removed;

    bool empty() const { return put.empty() && removed.empty(); }

    auto operator<=>(const ListChange &) const = default;
};

using TargetsChange = ListChange<TargetRecord>;
using InstancesChange = ListChange<GatewayInstance>;

/// Returns what turns \a from into \a to. Both are sorted by id. Thread-safe.
TargetsChange changeBetween(const std::vector<TargetRecord> &from,
                            const std::vector<TargetRecord> &to);
InstancesChange changeBetween(const std::vector<GatewayInstance> &from,
                              const std::vector<GatewayInstance> &to);

/// Applies a change; the list stays sorted by id. Thread-safe for different lists.
void applyChange(std::vector<TargetRecord> &list, const TargetsChange &change);
void applyChange(std::vector<GatewayInstance> &list, const InstancesChange &change);

/// What an instance that reads the platform tells the others of its region.
struct EstateUpdate
{
    /// When the read began that this rests on, on the clock of the instance that holds the value.
    TimePoint asOf;
    /// These and the lists below: since the last news on the same link.
    OperatorRecords operatorRecords;
    /// Position up to which the platform's list of targets was read.
    std::uint64_t targetsPosition = 0;
    TargetsChange targets;
    InstancesChange instances;

    auto operator<=>(const EstateUpdate &) const = default;
};

/// Encodes news for a frame. Ages are rounded up to milliseconds. Thread-safe for different
/// packers.
std::string encodeUpdate(const EstateUpdate &news, TimePoint now, RecordCompressor &packer);

/// Decodes a frame; times are put on this instance's clock. Errors: InvalidArgument, naming the
/// fault. Thread-safe.
absl::StatusOr<EstateUpdate> decodeUpdate(std::string_view frame, TimePoint now);

} // namespace lycheebay
