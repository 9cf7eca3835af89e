#include "estate/address.h"

#include <fmt/format.h>

#include <arpa/inet.h>

#include <charconv>

namespace lycheebay {

absl::StatusOr<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return absl::InvalidArgumentError(fmt::format("address \"{}\" has no port", text));
    const std::string host(text.substr(0, colon));
    in_addr parsed{};
    if (inet_pton(AF_INET, host.c_str(), &parsed) != 1)
        return absl::InvalidArgumentError(fmt::format("\"{}\" is not an IPv4 address", host));
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsedPort = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool whole = parsedPort.ptr == digits.data() + digits.size();
    if (parsedPort.ec != std::errc() || !whole || port == 0)
        return absl::InvalidArgumentError(fmt::format("port in \"{}\" is not in 1..65535", text));
    return Address{ host, port };
}

} // namespace lycheebay
