#include "gateway/relay/estateupdate.h"

#include "relay_generated.h"

#include <algorithm>
#include <cmath>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

// Limits for frames from other instances, far above what the largest estate needs.
constexpr flatbuffers::uoffset_t kMaxDepth = 4;
constexpr flatbuffers::uoffset_t kMaxTables = 100'000;

template <typename T>
auto lowerBound(std::vector<T> &list, const std::string &id)
{
    return std::lower_bound(list.begin(), list.end(), id,
                            [](const T &it, const std::string &key) { return it.id < key; });
}

template <typename T>
ListDiff<T> computeListDiff(const std::vector<T> &from, const std::vector<T> &to)
{
    ListDiff<T> diff;
    auto previous = from.begin();
    for (const T &it : to) {
        for (; previous != from.end() && previous->id < it.id; ++previous)
            diff.removed.push_back(previous->id);
        const bool exists = previous != from.end() && previous->id == it.id;
        if (!exists || !(*previous == it))
            diff.upserted.push_back(it);
        if (exists)
            ++previous;
    }
    for (; previous != from.end(); ++previous)
        diff.removed.push_back(previous->id);
    return diff;
}

template <typename T>
void applyListDiff(std::vector<T> &list, const ListDiff<T> &diff)
{
    for (const std::string &id : diff.removed) {
        const auto it = lowerBound(list, id);
        if (it != list.end() && it->id == id)
            list.erase(it);
    }
    for (const T &element : diff.upserted) {
        const auto it = lowerBound(list, element.id);
        if (it != list.end() && it->id == element.id)
            *it = element;
        else
            list.insert(it, element);
    }
}

std::uint32_t toMsRoundedUp(Duration duration)
{
    if (duration <= Duration::zero())
        return 0;
    const auto ms = std::chrono::ceil<milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::min<std::int64_t>(ms, UINT32_MAX));
}

std::optional<std::uint64_t> toStdOptional(const flatbuffers::Optional<std::uint64_t> &value)
{
    return value.has_value() ? std::optional(value.value()) : std::nullopt;
}

flatbuffers::Optional<std::uint64_t> toFlatOptional(const std::optional<std::uint64_t> &value)
{
    return value ? flatbuffers::Optional<std::uint64_t>(*value) : flatbuffers::nullopt;
}

bool isValidName(const flatbuffers::String *text)
{
    return text->size() > 0 && text->size() <= kMaxNameBytes;
}

absl::Status decodeTarget(const relaywire::Target &target, TimePoint now, TargetListDiff &diff)
{
    const bool valid = isValidName(target.id()) && isValidName(target.service())
                       && isValidName(target.host()) && isValidName(target.failure_domain())
                       && target.slots() > 0;
    if (!valid)
        return absl::InvalidArgumentError(
                "target with an empty or too long name, or without slots");
    TargetRecord record;
    record.id = target.id()->str();
    record.service = target.service()->str();
    record.address = { target.host()->str(), target.port() };
    record.failureDomain = target.failure_domain()->str();
    record.slots = target.slots();
    record.leaving = target.leaving();
    record.startedAtMs = target.started_at_ms();
    if (target.cold_ms() > 0)
        record.coldUntil = now + milliseconds(target.cold_ms());
    diff.upserted.push_back(std::move(record));
    return absl::OkStatus();
}

absl::Status decodeInstance(const relaywire::Instance &instance, InstanceListDiff &diff)
{
    if (!isValidName(instance.id()) || !isValidName(instance.host())
        || !isValidName(instance.failure_domain()) || !(instance.weight() > 0)
        || !std::isfinite(instance.weight()))
        return absl::InvalidArgumentError(
                "instance with an empty or too long name, or an invalid weight");
    diff.upserted.push_back({ instance.id()->str(),
                              { instance.host()->str(), instance.port() },
                              instance.failure_domain()->str(),
                              instance.weight() });
    return absl::OkStatus();
}

absl::Status decodeNames(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> *names,
                         std::vector<std::string> &decoded)
{
    if (!names)
        return absl::OkStatus();
    for (const flatbuffers::String *it : *names) {
        if (!isValidName(it))
            return absl::InvalidArgumentError("list with an empty or too long name");
        decoded.push_back(it->str());
    }
    return absl::OkStatus();
}

absl::Status decodeLists(const relaywire::EstateUpdate &message, TimePoint now,
                         EstateUpdate &update)
{
    TargetListDiff targets;
    InstanceListDiff instances;
    absl::Status status = decodeNames(message.removed_targets(), targets.removed);
    if (status.ok())
        status = decodeNames(message.removed_instances(), instances.removed);
    if (message.targets()) {
        for (const relaywire::Target *it : *message.targets()) {
            if (status.ok())
                status = decodeTarget(*it, now, targets);
        }
    }
    if (message.instances()) {
        for (const relaywire::Instance *it : *message.instances()) {
            if (status.ok())
                status = decodeInstance(*it, instances);
        }
    }
    // Instances of an earlier version do not say what they know.
    if (message.targets_known() || !targets.empty())
        update.targets = std::move(targets);
    if (message.instances_known() || !instances.empty())
        update.instances = std::move(instances);
    return status;
}

absl::Status decodeSpillover(const relaywire::EstateUpdate &message, EstateUpdate &update)
{
    // Counts of one frame; more would be an error of the sender.
    static constexpr std::uint32_t kMaxCount = 1'000'000;
    const auto count = [](std::uint32_t it) { return static_cast<int>(std::min(it, kMaxCount)); };
    if (message.local_shares()) {
        for (const relaywire::LocalShare *it : *message.local_shares()) {
            if (!isValidName(it->home_region()) || !(it->share() >= 0 && it->share() <= 1))
                return absl::InvalidArgumentError("invalid share of callers");
            update.localShares.push_back({ it->home_region()->str(), it->share() });
        }
    }
    update.placed = count(message.placed());
    if (message.overflow()) {
        for (const relaywire::RegionOverflow *it : *message.overflow()) {
            if (!isValidName(it->region()))
                return absl::InvalidArgumentError("overflow with an empty or too long region");
            update.overflow.push_back(
                    { it->region()->str(), count(it->received()), count(it->sent()) });
        }
    }
    return absl::OkStatus();
}

absl::Status decodeObservations(const relaywire::EstateUpdate &message, EstateUpdate &update)
{
    // The count only tells whether a request is refused.
    static constexpr std::uint32_t kMaxCrashCount = 100;
    if (message.crash_suspects()) {
        for (const relaywire::CrashSuspect *it : *message.crash_suspects()) {
            const std::uint32_t count = std::min(it->crash_count(), kMaxCrashCount);
            SharedSuspect suspect{
                it->fingerprint(), static_cast<int>(count), milliseconds(it->remaining_ms()), {}
            };
            absl::Status status = decodeNames(it->home_regions(), suspect.homeRegions);
            if (!status.ok())
                return status;
            update.observations.crashSuspects.push_back(std::move(suspect));
        }
    }
    if (message.exchange_region()) {
        update.exchangeRegion = message.exchange_region()->str();
        if (update.exchangeRegion.size() > kMaxNameBytes)
            return absl::InvalidArgumentError("region name is too long");
    }
    return decodeNames(message.leaving_targets(), update.observations.leavingTargets);
}

absl::Status decodeRecord(const relaywire::OperatorRecord &record, OperatorRecords &records)
{
    if (!isValidName(record.key()))
        return absl::InvalidArgumentError("operator record with an empty or too long key");
    KeyedRecord decoded{ record.key()->str(),
                         std::nullopt,
                         { toStdOptional(record.era()), record.offset() } };
    if (const auto *bytes = record.value()) {
        auto value =
                decompressValue({ reinterpret_cast<const char *>(bytes->data()), bytes->size() },
                                record.uncompressed_size());
        if (!value.ok())
            return value.status();
        decoded.value = *std::move(value);
    }
    records.records.push_back(std::move(decoded));
    return absl::OkStatus();
}

absl::Status decodeRecords(const relaywire::EstateUpdate &message, OperatorRecords &records)
{
    records.position = { toStdOptional(message.operator_era()), message.operator_position() };
    records.complete = message.operator_complete() || message.operator_other_keys();
    absl::Status status = decodeNames(message.operator_other_keys(), records.otherKeys);
    if (!message.operator_records())
        return status;
    for (const relaywire::OperatorRecord *it : *message.operator_records()) {
        if (status.ok())
            status = decodeRecord(*it, records);
    }
    return status;
}

std::unique_ptr<relaywire::OperatorRecordT> encodeRecord(const KeyedRecord &record,
                                                         RecordCompressor &compressor)
{
    auto encoded = std::make_unique<relaywire::OperatorRecordT>();
    encoded->key = record.key;
    encoded->offset = record.position.offset;
    encoded->era = toFlatOptional(record.position.era);
    if (record.value) {
        const CompressedValue &compressed = compressor.compress(record);
        encoded->value.assign(compressed.bytes.begin(), compressed.bytes.end());
        encoded->uncompressed_size = static_cast<std::uint32_t>(compressed.uncompressedSize);
    }
    return encoded;
}

std::unique_ptr<relaywire::TargetT> encodeTarget(const TargetRecord &record, TimePoint now)
{
    auto target = std::make_unique<relaywire::TargetT>();
    target->id = record.id;
    target->service = record.service;
    target->host = record.address.host;
    target->port = record.address.port;
    target->failure_domain = record.failureDomain;
    target->slots = record.slots;
    target->leaving = record.leaving;
    target->started_at_ms = record.startedAtMs;
    target->cold_ms = toMsRoundedUp(record.coldUntil - now);
    return target;
}

std::unique_ptr<relaywire::InstanceT> encodeInstance(const GatewayInstance &instance)
{
    auto encoded = std::make_unique<relaywire::InstanceT>();
    encoded->id = instance.id;
    encoded->host = instance.address.host;
    encoded->port = instance.address.port;
    encoded->failure_domain = instance.failureDomain;
    encoded->weight = instance.weight;
    return encoded;
}

void encodeLists(const EstateUpdate &update, TimePoint now, relaywire::EstateUpdateT &message)
{
    if (update.targets) {
        message.targets_known = true;
        for (const TargetRecord &it : update.targets->upserted)
            message.targets.push_back(encodeTarget(it, now));
        message.removed_targets = update.targets->removed;
    }
    if (update.instances) {
        message.instances_known = true;
        for (const GatewayInstance &it : update.instances->upserted)
            message.instances.push_back(encodeInstance(it));
        message.removed_instances = update.instances->removed;
    }
}

} // namespace

TargetListDiff computeDiff(const std::vector<TargetRecord> &from,
                           const std::vector<TargetRecord> &to)
{
    return computeListDiff(from, to);
}

InstanceListDiff computeDiff(const std::vector<GatewayInstance> &from,
                             const std::vector<GatewayInstance> &to)
{
    return computeListDiff(from, to);
}

void applyDiff(std::vector<TargetRecord> &list, const TargetListDiff &diff)
{
    applyListDiff(list, diff);
}

void applyDiff(std::vector<GatewayInstance> &list, const InstanceListDiff &diff)
{
    applyListDiff(list, diff);
}

void assumeEras(EstateUpdate &update, const LogPosition &operatorPosition,
                const LogPosition &targetsPosition)
{
    const auto assume = [](LogPosition &position, const LogPosition &own) {
        if (!position.era)
            position.era = own.era;
    };
    assume(update.operatorRecords.position, operatorPosition);
    for (KeyedRecord &it : update.operatorRecords.records)
        assume(it.position, operatorPosition);
    assume(update.targetsPosition, targetsPosition);
}

std::string encodeUpdate(const EstateUpdate &update, TimePoint now, RecordCompressor &compressor)
{
    relaywire::EstateUpdateT message;
    message.age_ms = toMsRoundedUp(now - update.asOf);
    message.operator_position = update.operatorRecords.position.offset;
    message.operator_era = toFlatOptional(update.operatorRecords.position.era);
    // An instance of an earlier version does not know the other keys.
    message.operator_other_keys = update.operatorRecords.otherKeys;
    message.operator_complete =
            update.operatorRecords.complete && update.operatorRecords.otherKeys.empty();
    for (const KeyedRecord &it : update.operatorRecords.records)
        message.operator_records.push_back(encodeRecord(it, compressor));
    message.targets_position = update.targetsPosition.offset;
    message.targets_era = toFlatOptional(update.targetsPosition.era);
    encodeLists(update, now, message);
    for (const LocalShare &it : update.localShares) {
        auto share = std::make_unique<relaywire::LocalShareT>();
        share->home_region = it.homeRegion;
        share->share = it.share;
        message.local_shares.push_back(std::move(share));
    }
    message.placed = static_cast<std::uint32_t>(update.placed);
    for (const RegionOverflow &it : update.overflow) {
        auto overflow = std::make_unique<relaywire::RegionOverflowT>();
        overflow->region = it.region;
        overflow->received = static_cast<std::uint32_t>(it.received);
        overflow->sent = static_cast<std::uint32_t>(it.sent);
        message.overflow.push_back(std::move(overflow));
    }
    for (const SharedSuspect &it : update.observations.crashSuspects) {
        auto suspect = std::make_unique<relaywire::CrashSuspectT>();
        suspect->fingerprint = it.fingerprint;
        suspect->crash_count = static_cast<std::uint32_t>(it.crashCount);
        suspect->remaining_ms = toMsRoundedUp(it.remaining);
        suspect->home_regions = it.homeRegions;
        message.crash_suspects.push_back(std::move(suspect));
    }
    message.leaving_targets = update.observations.leavingTargets;
    message.exchange_region = update.exchangeRegion;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(relaywire::EstateUpdate::Pack(builder, &message));
    return { reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize() };
}

absl::StatusOr<EstateUpdate> decodeUpdate(std::string_view frame, TimePoint now)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(frame.data());
    flatbuffers::Verifier verifier(bytes, frame.size(), kMaxDepth, kMaxTables);
    if (!relaywire::VerifyEstateUpdateBuffer(verifier))
        return absl::InvalidArgumentError("frame is not a valid estate update");
    const relaywire::EstateUpdate *message = relaywire::GetEstateUpdate(bytes);
    EstateUpdate update;
    update.asOf = now - milliseconds(message->age_ms());
    update.targetsPosition = { toStdOptional(message->targets_era()), message->targets_position() };
    absl::Status status = decodeRecords(*message, update.operatorRecords);
    if (status.ok())
        status = decodeLists(*message, now, update);
    if (status.ok())
        status = decodeSpillover(*message, update);
    if (status.ok())
        status = decodeObservations(*message, update);
    if (!status.ok())
        return status;
    return update;
}

} // namespace lycheebay
