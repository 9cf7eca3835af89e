#pragma once

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheebay {

/// An IP address and a port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;

    std::string toString() const { return host + ":" + std::to_string(port); }
};

/// Parses "a.b.c.d:port". Errors: InvalidArgument naming the fault. Thread-safe.
absl::StatusOr<Address> parseAddress(std::string_view text);

} // namespace lycheebay
