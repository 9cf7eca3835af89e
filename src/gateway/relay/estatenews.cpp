#include "gateway/relay/estatenews.h"

#include "relay_generated.h"

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

// Bounds for frames of other instances, far above the largest estate.
constexpr flatbuffers::uoffset_t kMaxDepth = 4;
constexpr flatbuffers::uoffset_t kMaxTables = 100'000;
constexpr std::size_t kMaxNameBytes = 256;

std::uint32_t roundedUpMs(Duration duration)
{
    if (duration <= Duration::zero())
        return 0;
    const auto ms = std::chrono::ceil<milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::min<std::int64_t>(ms, UINT32_MAX));
}

bool isShort(const flatbuffers::String *text)
{
    return text->size() <= kMaxNameBytes;
}

absl::StatusOr<TargetRecord> decodeTarget(const relaywire::Target &target, TimePoint now)
{
    const bool acceptable = isShort(target.id()) && isShort(target.service())
                            && isShort(target.host()) && isShort(target.failure_domain())
                            && target.slots() > 0;
    if (!acceptable)
        return absl::InvalidArgumentError("target with a long name or without slots");
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
    return record;
}

} // namespace

std::string encodeNews(const EstateNews &news, TimePoint now)
{
    relaywire::NewsT message;
    message.age_ms = roundedUpMs(now - news.asOf);
    message.configuration_position = news.configurationPosition;
    if (news.targets) {
        message.list = std::make_unique<relaywire::TargetListT>();
        for (const TargetRecord &it : news.targets->targets) {
            auto target = std::make_unique<relaywire::TargetT>();
            target->id = it.id;
            target->service = it.service;
            target->host = it.address.host;
            target->port = it.address.port;
            target->failure_domain = it.failureDomain;
            target->slots = it.slots;
            target->leaving = it.leaving;
            target->started_at_ms = it.startedAtMs;
            target->cold_ms = roundedUpMs(it.coldUntil - now);
            message.list->targets.push_back(std::move(target));
        }
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(relaywire::News::Pack(builder, &message));
    return { reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize() };
}

absl::StatusOr<EstateNews> decodeNews(std::string_view frame, TimePoint now)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(frame.data());
    flatbuffers::Verifier verifier(bytes, frame.size(), kMaxDepth, kMaxTables);
    if (!relaywire::VerifyNewsBuffer(verifier))
        return absl::InvalidArgumentError("frame is no news");
    const relaywire::News *message = relaywire::GetNews(bytes);
    EstateNews news;
    news.asOf = now - milliseconds(message->age_ms());
    news.configurationPosition = message->configuration_position();
    if (!message->list())
        return news;
    auto list = makeRef<TargetList>();
    for (const relaywire::Target *it : *message->list()->targets()) {
        auto record = decodeTarget(*it, now);
        if (!record.ok())
            return record.status();
        list->targets.push_back(*std::move(record));
    }
    news.targets = IntrusivePtr<const TargetList>(list);
    return news;
}

} // namespace lycheebay
