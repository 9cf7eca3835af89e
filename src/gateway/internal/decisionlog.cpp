#include "gateway/internal/decisionlog.h"

#include "base/log.h"
#include "base/seconds.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace lycheebay {

LogFields::LogFields(std::string_view event)
    : m_text(fmt::format("event={}", event))
{}

LogFields &LogFields::add(std::string_view name, std::string_view value)
{
    // Some values come from callers and must not add fields or lines.
    std::string clean(value);
    std::replace_if(
            clean.begin(), clean.end(),
            [](unsigned char c) { return c <= ' ' || c == '"' || c == '=' || c >= 0x7f; }, '_');
    fmt::format_to(std::back_inserter(m_text), " {}={}", name, clean.empty() ? "-" : clean);
    return *this;
}

LogFields &LogFields::add(std::string_view name, std::int64_t value)
{
    fmt::format_to(std::back_inserter(m_text), " {}={}", name, value);
    return *this;
}

LogFields &LogFields::addMs(std::string_view name, Duration value)
{
    fmt::format_to(std::back_inserter(m_text), " {}={:.1f}", name, toMilliseconds(value));
    return *this;
}

DecisionLog::DecisionLog(const IClock &clock, int maxLinesPerSecond)
    : m_clock(clock)
    , m_logger(componentLogger("gateway"))
    , m_maxLinesPerSecond(maxLinesPerSecond)
{}

void DecisionLog::write(const LogFields &fields)
{
    const TimePoint now = m_clock.now();
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        if (m_suppressed > 0)
            LOG4CPLUS_WARN(m_logger, "event=decisions_not_logged count=" << m_suppressed);
        m_secondStart = now;
        m_linesThisSecond = 0;
        m_suppressed = 0;
    }
    if (m_linesThisSecond >= m_maxLinesPerSecond) {
        ++m_suppressed;
        return;
    }
    ++m_linesThisSecond;
    LOG4CPLUS_INFO(m_logger, fields.text());
}

} // namespace lycheebay
