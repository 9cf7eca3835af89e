#pragma once

#include "base/iclock.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheebay {

/// Names the only incarnation that may run requests whose idempotency keys begin with this ticket.
struct Ticket
{
    std::uint64_t incarnation = 0;
    /// Time on the monotonic clock of that incarnation, which is not affected by clock adjustments,
    /// in whole milliseconds.
    TimePoint issuedAt;
    /// Distinguishes tickets issued in the same millisecond.
    std::uint64_t sequence = 0;

    auto operator<=>(const Ticket &) const = default;
};

/// Returns "lb1.<incarnation, 16 hex digits>.<issue time in ms>.<sequence>".
std::string formatTicket(const Ticket &ticket);
/// Accepts only the exact output of formatTicket(). Errors: InvalidArgument. Thread-safe.
absl::StatusOr<Ticket> parseTicket(std::string_view text);

/// The value of the header Idempotency-Key: "<ticket>~<suffix>".
struct IdempotencyKey
{
    Ticket ticket;
    /// The complete header value.
    std::string text;

    auto operator<=>(const IdempotencyKey &) const = default;
};

/// Requires a suffix of 1 to 128 characters from A-Z, a-z, 0-9, ".", "_" and "-".
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
