#include "platform/logstatus.h"

#include <absl/strings/cord.h>
#include <fmt/format.h>

#include <charconv>
#include <string>

namespace lycheebay {

namespace {

constexpr char kFirstOffsetUrl[] = "lycheebay/first-offset";

} // namespace

absl::Status offsetDropped(std::uint64_t first)
{
    absl::Status status =
            absl::OutOfRangeError(fmt::format("the log holds offsets from {} on", first));
    status.SetPayload(kFirstOffsetUrl, absl::Cord(std::to_string(first)));
    return status;
}

std::optional<std::uint64_t> firstOffsetOf(const absl::Status &status)
{
    const auto payload = status.GetPayload(kFirstOffsetUrl);
    if (!payload)
        return std::nullopt;
    const std::string digits(*payload);
    std::uint64_t first = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), first);
    return parsed.ec == std::errc() ? std::optional(first) : std::nullopt;
}

} // namespace lycheebay
