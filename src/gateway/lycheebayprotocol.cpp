#include "gateway/lycheebayprotocol.h"

#include "transport/loadheader.h"

#include <charconv>

namespace lycheebay {

namespace {

// A cold target reports no duration; its next response tells whether it still is.
constexpr Duration kColdAssumed = std::chrono::seconds(1);

std::string valueOf(const HttpHeaders &headers, const char *name)
{
    const std::string *value = findHeader(headers, name);
    return value ? *value : std::string();
}

} // namespace

RequestMetadata LycheebayProtocol::readRequestMetadata(const HttpRequest &request) const
{
    RequestMetadata terms;
    terms.attemptId = valueOf(request.headers, kKeyHeader);
    const std::string deadline = valueOf(request.headers, kDeadlineHeader);
    std::uint32_t ms = 0;
    const char *end = deadline.data() + deadline.size();
    if (std::from_chars(deadline.data(), end, ms).ec == std::errc())
        terms.deadline = std::chrono::milliseconds(ms);
    return terms;
}

ResponseMetadata LycheebayProtocol::readResponseMetadata(const HttpResponse &response) const
{
    ResponseMetadata signals;
    signals.notRun = findHeader(response.headers, kNotRunHeader) != nullptr;
    signals.sealed = true; // these targets do not seal their answers
    if (const auto report = parseLoadHeader(valueOf(response.headers, kLoadHeader))) {
        signals.load = TargetLoad{ report->inFlight, 0, report->slots, 1 };
        const bool cold = report->phase == TargetPhase::Cold;
        signals.coldFor = cold ? kColdAssumed : Duration::zero();
    }
    return signals;
}

void LycheebayProtocol::addAttemptFields(HttpHeaders &headers, const std::string &,
                                         Duration remaining) const
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    setHeader(headers, kDeadlineHeader, std::to_string(ms));
}

} // namespace lycheebay
