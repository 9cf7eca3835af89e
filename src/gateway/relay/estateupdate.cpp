#include "gateway/relay/estateupdate.h"

#include "relay_generated.h"

#include <algorithm>
#include <cmath>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

// Bounds for frames of other instances, far above the largest estate.
constexpr flatbuffers::uoffset_t kMaxDepth = 4;
constexpr flatbuffers::uoffset_t kMaxTables = 100'000;
constexpr std::size_t kMaxNameBytes = 256;

template <typename T>
auto lowerBound(std::vector<T> &list, const std::string &id)
{
    return std::lower_bound(list.begin(), list.end(), id,
                            [](const T &it, const std::string &key) { return it.id < key; });
}

template <typename T>
ListChange<T> difference(const std::vector<T> &from, const std::vector<T> &to)
{
    ListChange<T> change;
    auto old = from.begin();
    for (const T &it : to) {
        for (; old != from.end() && old->id < it.id; ++old)
            change.removed.push_back(old->id);
        const bool known = old != from.end() && old->id == it.id;
        if (!known || !(*old == it))
            change.put.push_back(it);
        if (known)
            ++old;
    }
    for (; old != from.end(); ++old)
        change.removed.push_back(old->id);
    return change;
}

template <typename T>
void apply(std::vector<T> &list, const ListChange<T> &change)
{
    for (const std::string &id : change.removed) {
        const auto it = lowerBound(list, id);
        if (it != list.end() && it->id == id)
            list.erase(it);
    }
    for (const T &element : change.put) {
        const auto it = lowerBound(list, element.id);
        if (it != list.end() && it->id == element.id)
            *it = element;
        else
            list.insert(it, element);
    }
}

std::uint32_t roundedUpMs(Duration duration)
{
    if (duration <= Duration::zero())
        return 0;
    const auto ms = std::chrono::ceil<milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::min<std::int64_t>(ms, UINT32_MAX));
}

bool isName(const flatbuffers::String *text)
{
    return text->size() > 0 && text->size() <= kMaxNameBytes;
}

absl::Status decodeTarget(const relaywire::Target &target, TimePoint now, TargetsChange &change)
{
    const bool acceptable = isName(target.id()) && isName(target.service()) && isName(target.host())
                            && isName(target.failure_domain()) && target.slots() > 0;
    if (!acceptable)
        return absl::InvalidArgumentError("target with a bad name or without slots");
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
    change.put.push_back(std::move(record));
    return absl::OkStatus();
}

absl::Status decodeInstance(const relaywire::Instance &instance, InstancesChange &change)
{
    if (!isName(instance.id()) || !isName(instance.host()) || !isName(instance.failure_domain())
        || !(instance.weight() > 0) || !std::isfinite(instance.weight()))
        return absl::InvalidArgumentError("instance with a bad name or weight");
    change.put.push_back({ instance.id()->str(),
                           { instance.host()->str(), instance.port() },
                           instance.failure_domain()->str(),
                           instance.weight() });
    return absl::OkStatus();
}

absl::Status
decodeRemoved(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> *names,
              std::vector<std::string> &removed)
{
    if (!names)
        return absl::OkStatus();
    for (const flatbuffers::String *it : *names) {
        if (!isName(it))
            return absl::InvalidArgumentError("bad name of a removed element");
        removed.push_back(it->str());
    }
    return absl::OkStatus();
}

absl::Status decodeLists(const relaywire::News &message, TimePoint now, EstateUpdate &news)
{
    absl::Status status = decodeRemoved(message.removed_targets(), news.targets.removed);
    if (status.ok())
        status = decodeRemoved(message.removed_instances(), news.instances.removed);
    if (message.targets()) {
        for (const relaywire::Target *it : *message.targets()) {
            if (status.ok())
                status = decodeTarget(*it, now, news.targets);
        }
    }
    if (message.instances()) {
        for (const relaywire::Instance *it : *message.instances()) {
            if (status.ok())
                status = decodeInstance(*it, news.instances);
        }
    }
    return status;
}

absl::Status decodeRecord(const relaywire::OperatorRecord &record, OperatorRecords &records)
{
    if (!isName(record.key()))
        return absl::InvalidArgumentError("record with a bad key");
    KeyedRecord decoded{ record.key()->str(), std::nullopt, record.offset() };
    if (const auto *bytes = record.value()) {
        auto value = unpackValue({ reinterpret_cast<const char *>(bytes->data()), bytes->size() },
                                 record.value_bytes());
        if (!value.ok())
            return value.status();
        decoded.value = *std::move(value);
    }
    records.records.push_back(std::move(decoded));
    return absl::OkStatus();
}

absl::Status decodeRecords(const relaywire::News &message, OperatorRecords &records)
{
    records.position = message.operator_position();
    records.complete = message.operator_complete();
    if (!message.operator_records())
        return absl::OkStatus();
    for (const relaywire::OperatorRecord *it : *message.operator_records()) {
        absl::Status status = decodeRecord(*it, records);
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

std::unique_ptr<relaywire::OperatorRecordT> encodeRecord(const KeyedRecord &record,
                                                         RecordCompressor &packer)
{
    auto encoded = std::make_unique<relaywire::OperatorRecordT>();
    encoded->key = record.key;
    encoded->offset = record.offset;
    if (record.value) {
        const PackedValue &packed = packer.pack(record);
        encoded->value.assign(packed.bytes.begin(), packed.bytes.end());
        encoded->value_bytes = static_cast<std::uint32_t>(packed.inflatedBytes);
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
    target->cold_ms = roundedUpMs(record.coldUntil - now);
    return target;
}

} // namespace

TargetsChange changeBetween(const std::vector<TargetRecord> &from,
                            const std::vector<TargetRecord> &to)
{
    return difference(from, to);
}

InstancesChange changeBetween(const std::vector<GatewayInstance> &from,
                              const std::vector<GatewayInstance> &to)
{
    return difference(from, to);
}

void applyChange(std::vector<TargetRecord> &list, const TargetsChange &change)
{
    apply(list, change);
}

void applyChange(std::vector<GatewayInstance> &list, const InstancesChange &change)
{
    apply(list, change);
}

std::string encodeUpdate(const EstateUpdate &news, TimePoint now, RecordCompressor &packer)
{
    relaywire::NewsT message;
    message.age_ms = roundedUpMs(now - news.asOf);
    message.operator_position = news.operatorRecords.position;
    message.operator_complete = news.operatorRecords.complete;
    for (const KeyedRecord &it : news.operatorRecords.records)
        message.operator_records.push_back(encodeRecord(it, packer));
    for (const TargetRecord &it : news.targets.put)
        message.targets.push_back(encodeTarget(it, now));
    message.targets_position = news.targetsPosition;
    message.removed_targets = news.targets.removed;
    for (const GatewayInstance &it : news.instances.put) {
        auto instance = std::make_unique<relaywire::InstanceT>();
        instance->id = it.id;
        instance->host = it.address.host;
        instance->port = it.address.port;
        instance->failure_domain = it.failureDomain;
        instance->weight = it.weight;
        message.instances.push_back(std::move(instance));
    }
    message.removed_instances = news.instances.removed;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(relaywire::News::Pack(builder, &message));
    return { reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize() };
}

absl::StatusOr<EstateUpdate> decodeUpdate(std::string_view frame, TimePoint now)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(frame.data());
    flatbuffers::Verifier verifier(bytes, frame.size(), kMaxDepth, kMaxTables);
    if (!relaywire::VerifyNewsBuffer(verifier))
        return absl::InvalidArgumentError("frame is no news");
    const relaywire::News *message = relaywire::GetNews(bytes);
    EstateUpdate news;
    news.asOf = now - milliseconds(message->age_ms());
    news.targetsPosition = message->targets_position();
    absl::Status status = decodeRecords(*message, news.operatorRecords);
    if (status.ok())
        status = decodeLists(*message, now, news);
    if (!status.ok())
        return status;
    return news;
}

} // namespace lycheebay
