#include "gateway/lycheebayprotocol.h"

#include "transport/loadheader.h"

#include <charconv>

namespace lycheebay {

namespace {

// A cold target does not report how long it stays cold. Its next response updates this assumption.
constexpr Duration kAssumedColdTime = std::chrono::seconds(1);

std::string valueOf(const HttpHeaders &headers, const char *name)
{
    const std::string *value = findHeader(headers, name);
    return value ? *value : std::string();
}

} // namespace

RequestMetadata LycheebayProtocol::readRequestMetadata(const HttpRequest &request) const
{
    RequestMetadata metadata;
    metadata.attemptId = valueOf(request.headers, kIdempotencyKeyHeader);
    const std::string deadline = valueOf(request.headers, kDeadlineHeader);
    std::uint32_t ms = 0;
    const char *end = deadline.data() + deadline.size();
    if (std::from_chars(deadline.data(), end, ms).ec == std::errc())
        metadata.deadline = std::chrono::milliseconds(ms);
    return metadata;
}

ResponseMetadata LycheebayProtocol::readResponseMetadata(const HttpResponse &response) const
{
    ResponseMetadata metadata;
    metadata.notRun = findHeader(response.headers, kNotRunHeader) != nullptr;
    metadata.sealed = true; // targets of this protocol send no seal
    if (const auto report = parseLoadHeader(valueOf(response.headers, kLoadHeader))) {
        metadata.load = TargetLoad{ report->inFlight, 0, report->slots, 1 };
        const bool cold = report->phase == TargetPhase::Cold;
        metadata.coldFor = cold ? kAssumedColdTime : Duration::zero();
        metadata.leaving = report->phase == TargetPhase::Draining;
    }
    return metadata;
}

void LycheebayProtocol::addAttemptFields(HttpHeaders &headers, const std::string &,
                                         Duration remaining) const
{
    setDeadline(headers, remaining);
}

void LycheebayProtocol::setDeadline(HttpHeaders &headers, Duration remaining) const
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    setHeader(headers, kDeadlineHeader, std::to_string(ms));
}

} // namespace lycheebay
