#include "transport/loadheader.h"

#include <charconv>

namespace lycheebay {

namespace {

/// Upper limit for the requests in flight and the slots; larger reports are invalid.
constexpr int kMaxCount = 1'000'000;

template <typename Number>
bool parseField(std::string_view &text, std::string_view name, Number &value)
{
    if (!text.starts_with(name))
        return false;
    text.remove_prefix(name.size());
    const auto end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc())
        return false;
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    return true;
}

bool parsePhase(std::string_view &text, TargetPhase &phase)
{
    struct Name
    {
        std::string_view text;
        TargetPhase phase;
    };
    constexpr Name kNames[] = { { ";phase=cold;", TargetPhase::Cold },
                                { ";phase=warm;", TargetPhase::Warm },
                                { ";phase=draining;", TargetPhase::Draining } };
    for (const Name &name : kNames) {
        if (!text.starts_with(name.text))
            continue;
        phase = name.phase;
        text.remove_prefix(name.text.size());
        return true;
    }
    return false;
}

} // namespace

std::optional<LoadReport> parseLoadHeader(std::string_view text)
{
    LoadReport report;
    const bool parsed = parseField(text, "inflight=", report.inFlight)
                        && parseField(text, ";slots=", report.slots)
                        && parsePhase(text, report.phase)
                        && parseField(text, "start=", report.startId) && text.empty();
    const bool inRange = report.inFlight >= 0 && report.inFlight <= kMaxCount && report.slots >= 0
                         && report.slots <= kMaxCount;
    return parsed && inRange ? std::optional(report) : std::nullopt;
}

} // namespace lycheebay
