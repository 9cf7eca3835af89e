#include "estate/internal/text.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace lycheebay {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kSecondsLength = 19; // "2026-12-04T09:30:00"
constexpr std::size_t kMillisecondsLength = 23;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.'
           || c == '_' || c == '-';
}

/// Length of the sequence that \a lead begins, 0 for a byte that begins none.
std::size_t sequenceLength(unsigned char lead)
{
    if (lead < 0x80)
        return 1;
    if (lead < 0xc2)
        return 0;
    if (lead < 0xe0)
        return 2;
    if (lead < 0xf0)
        return 3;
    return lead < 0xf5 ? 4 : 0;
}

bool isSequence(std::string_view bytes)
{
    const auto second = static_cast<unsigned char>(bytes[1]);
    const auto lead = static_cast<unsigned char>(bytes[0]);
    const bool overlong = (lead == 0xe0 && second < 0xa0) || (lead == 0xf0 && second < 0x90);
    const bool surrogate = lead == 0xed && second >= 0xa0;
    const bool beyondUnicode = lead == 0xf4 && second >= 0x90;
    if (overlong || surrogate || beyondUnicode)
        return false;
    return std::all_of(bytes.begin() + 1, bytes.end(),
                       [](char c) { return (static_cast<unsigned char>(c) & 0xc0) == 0x80; });
}

std::optional<int> parseDigits(std::string_view text, std::size_t at, std::size_t count)
{
    int value = 0;
    const char *end = text.data() + at + count;
    const auto parsed = std::from_chars(text.data() + at, end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 0)
        return std::nullopt;
    return value;
}

bool hasTimeLayout(std::string_view text)
{
    constexpr std::string_view kLayout = "dddd-dd-ddTdd:dd:dd.ddd";
    if (text.size() != kSecondsLength && text.size() != kMillisecondsLength)
        return false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool digit = text[i] >= '0' && text[i] <= '9';
        if (kLayout[i] == 'd' ? !digit : text[i] != kLayout[i])
            return false;
    }
    return true;
}

} // namespace

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= kMaxNameLength
           && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t n = sequenceLength(static_cast<unsigned char>(text[0]));
        if (n == 0 || n > text.size() || (n > 1 && !isSequence(text.substr(0, n))))
            return false;
        text.remove_prefix(n);
    }
    return true;
}

std::string formatWallTime(WallTime time)
{
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss<std::chrono::milliseconds> clock(time - day);
    std::string text =
            fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}", static_cast<int>(date.year()),
                        static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                        clock.hours().count(), clock.minutes().count(), clock.seconds().count());
    if (clock.subseconds().count() != 0)
        text += fmt::format(".{:03}", clock.subseconds().count());
    return text + "Z";
}

std::optional<WallTime> parseWallTime(std::string_view text)
{
    if (!text.ends_with('Z') || !hasTimeLayout(text.substr(0, text.size() - 1)))
        return std::nullopt;
    using std::chrono::day;
    using std::chrono::month;
    using std::chrono::year;
    const std::chrono::year_month_day date{ year(*parseDigits(text, 0, 4)),
                                            month(static_cast<unsigned>(*parseDigits(text, 5, 2))),
                                            day(static_cast<unsigned>(*parseDigits(text, 8, 2))) };
    const std::chrono::hours hours(*parseDigits(text, 11, 2));
    const std::chrono::minutes minutes(*parseDigits(text, 14, 2));
    const std::chrono::seconds seconds(*parseDigits(text, 17, 2));
    std::chrono::milliseconds fraction(0);
    if (text.size() == kMillisecondsLength + 1)
        fraction = std::chrono::milliseconds(*parseDigits(text, 20, 3));
    if (!date.ok() || hours.count() > 23 || minutes.count() > 59 || seconds.count() > 59)
        return std::nullopt;
    return WallTime(std::chrono::sys_days(date)) + hours + minutes + seconds + fraction;
}

} // namespace lycheebay
