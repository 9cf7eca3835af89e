#pragma once

#include "base/iclock.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheebay {

/// Names the one incarnation that may run the requests whose keys begin with it.
struct Ticket
{
    std::uint64_t incarnation = 0;
    /// On the monotonic clock of that incarnation, which no clock adjustment moves; in whole
    /// milliseconds.
    TimePoint issuedAt;
    std::uint64_t sequence = 0;

    auto operator<=>(const Ticket &) const = default;
};

/// "lb1.<incarnation, 16 hex digits>.<issue time in ms>.<sequence>".
std::string formatTicket(const Ticket &ticket);
/// Accepts only what formatTicket() writes. Errors: InvalidArgument. Thread-safe.
absl::StatusOr<Ticket> parseTicket(std::string_view text);

/// The value of the header Idempotency-Key: "<ticket>~<suffix>".
struct IdempotencyKey
{
    Ticket ticket;
    /// The whole value.
    std::string text;

    auto operator<=>(const IdempotencyKey &) const = default;
};

/// The suffix has 1 to 128 characters out of A-Z, a-z, 0-9, ".", "_" and "-".
/// Errors: InvalidArgument. Thread-safe.
absl::StatusOr<IdempotencyKey> parseIdempotencyKey(std::string_view text);

/// Issues the tickets of one incarnation. Thread-safe.
class TicketIssuer
{
public:
    explicit TicketIssuer(std::uint64_t incarnation)
        : m_incarnation(incarnation)
    {}

    Ticket issue(TimePoint now);
    std::uint64_t incarnation() const { return m_incarnation; }

private:
    const std::uint64_t m_incarnation;
    std::atomic<std::uint64_t> m_sequence{ 0 };
};

} // namespace lycheebay
