#include "outcomes/ticket.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kTicketPrefix = "lb1.";
constexpr std::size_t kMaxSuffixLength = 128;

bool parseNumber(std::string_view text, int base, std::uint64_t &value)
{
    const auto end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, base);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

bool isSuffixCharacter(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.'
           || c == '_' || c == '-';
}

} // namespace

std::string formatTicket(const Ticket &ticket)
{
    const auto issuedMs =
            std::chrono::duration_cast<milliseconds>(ticket.issuedAt.time_since_epoch());
    return fmt::format("{}{:016x}.{}.{}", kTicketPrefix, ticket.incarnation, issuedMs.count(),
                       ticket.sequence);
}

absl::StatusOr<Ticket> parseTicket(std::string_view text)
{
    const auto malformed = absl::InvalidArgumentError("malformed ticket");
    if (!text.starts_with(kTicketPrefix))
        return malformed;
    const std::string_view fields = text.substr(kTicketPrefix.size());
    const auto first = fields.find('.');
    const auto second = first == std::string_view::npos ? first : fields.find('.', first + 1);
    if (second == std::string_view::npos)
        return malformed;
    Ticket ticket;
    std::uint64_t issuedMs = 0;
    const bool parsed = parseNumber(fields.substr(0, first), 16, ticket.incarnation)
                        && parseNumber(fields.substr(first + 1, second - first - 1), 10, issuedMs)
                        && parseNumber(fields.substr(second + 1), 10, ticket.sequence);
    // Larger values could overflow TimePoint, which counts nanoseconds.
    constexpr std::uint64_t kMaxMs = 9'000'000'000'000;
    if (!parsed || issuedMs > kMaxMs)
        return malformed;
    ticket.issuedAt = TimePoint(milliseconds(issuedMs));
    // Only the canonical form is accepted, without leading zeros for example. Otherwise one ticket
    // could be written in two ways, which would be two keys for one request.
    if (formatTicket(ticket) != text)
        return malformed;
    return ticket;
}

absl::StatusOr<IdempotencyKey> parseIdempotencyKey(std::string_view text)
{
    const auto tilde = text.find('~');
    if (tilde == std::string_view::npos)
        return absl::InvalidArgumentError("idempotency key has no \"~\" between ticket and suffix");
    const std::string_view suffix = text.substr(tilde + 1);
    if (suffix.empty() || suffix.size() > kMaxSuffixLength
        || !std::all_of(suffix.begin(), suffix.end(), isSuffixCharacter)) {
        return absl::InvalidArgumentError("suffix of idempotency key must be 1 to 128 letters, "
                                          "digits, \".\", \"_\" or \"-\"");
    }
    absl::StatusOr<Ticket> ticket = parseTicket(text.substr(0, tilde));
    if (!ticket.ok())
        return ticket.status();
    return IdempotencyKey{ *ticket, std::string(text) };
}

Ticket TicketIssuer::issue(TimePoint now)
{
    const auto issuedAt = std::chrono::floor<milliseconds>(now);
    return { m_incarnation, issuedAt, ++m_sequence };
}

} // namespace lycheebay
