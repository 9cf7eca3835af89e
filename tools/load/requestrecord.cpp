#include "tools/load/requestrecord.h"

#include <array>

namespace lycheebay::load {

using nlohmann::json;

namespace {

constexpr std::array<const char *, 3> kOutcomeNames = { "done", "not-run", "unknown" };
constexpr std::array<const char *, 2> kKindNames = { "lookup", "order" };
constexpr std::array<const char *, 2> kPathNames = { "entry", "direct" };

template <class Enum, std::size_t Count>
Enum fromName(const std::array<const char *, Count> &names, const std::string &name)
{
    for (std::size_t n = 0; n < Count; ++n) {
        if (name == names[n])
            return static_cast<Enum>(n);
    }
    throw json::other_error::create(501, "unknown name: " + name, nullptr);
}

} // namespace

const char *outcomeName(Outcome outcome)
{
    return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

json toJson(const RequestRecord &record)
{
    json tries = json::array();
    for (const Try &it : record.tries) {
        tries.push_back({ { "key", it.key },
                          { "address", it.address },
                          { "outcome", outcomeName(it.outcome) },
                          { "status", it.status },
                          { "reason", it.reason },
                          { "sentUs", it.sentUs },
                          { "endUs", it.endUs } });
    }
    return { { "id", record.id },
             { "service", record.service },
             { "kind", kKindNames.at(static_cast<std::size_t>(record.kind)) },
             { "path", kPathNames.at(static_cast<std::size_t>(record.path)) },
             { "intendedUs", record.intendedUs },
             { "endUs", record.endUs },
             { "connectionsRefused", record.connectionsRefused },
             { "outcome", outcomeName(record.outcome) },
             { "wrong", record.isWrong },
             { "tries", tries } };
}

RequestRecord fromJson(const json &line)
{
    RequestRecord record;
    record.id = line.at("id");
    record.service = line.at("service");
    record.kind = fromName<Kind>(kKindNames, line.at("kind"));
    record.path = fromName<Path>(kPathNames, line.at("path"));
    record.intendedUs = line.at("intendedUs");
    record.endUs = line.at("endUs");
    record.connectionsRefused = line.at("connectionsRefused");
    record.outcome = fromName<Outcome>(kOutcomeNames, line.at("outcome"));
    record.isWrong = line.at("wrong");
    for (const json &it : line.at("tries")) {
        Try attempt;
        attempt.key = it.at("key");
        attempt.address = it.at("address");
        attempt.outcome = fromName<Outcome>(kOutcomeNames, it.at("outcome"));
        attempt.status = it.at("status");
        attempt.reason = it.at("reason");
        attempt.sentUs = it.at("sentUs");
        attempt.endUs = it.at("endUs");
        record.tries.push_back(std::move(attempt));
    }
    return record;
}

} // namespace lycheebay::load
