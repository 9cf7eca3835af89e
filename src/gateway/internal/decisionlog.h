#pragma once

#include "base/iclock.h"

#include <log4cplus/logger.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheebay {

/// Builds the text of one structured log line: an event name and `name=value` fields.
class LogFields
{
public:
    explicit LogFields(std::string_view event);

    /// Adds a field. Spaces, quotes, '=', control and non-ASCII characters are replaced by '_'.
    LogFields &add(std::string_view name, std::string_view value);
    LogFields &add(std::string_view name, std::int64_t value);
    LogFields &addMs(std::string_view name, Duration value);

    const std::string &text() const { return m_text; }

private:
    std::string m_text;
};

/// Rate-limited log of the decisions about requests. Lines above the limit are counted, and the
/// count is logged. Not thread-safe.
class DecisionLog
{
public:
    DecisionLog(const IClock &clock, int maxLinesPerSecond);

    void write(const LogFields &fields);

private:
    const IClock &m_clock;
    const log4cplus::Logger m_logger;
    const int m_maxLinesPerSecond;
    TimePoint m_secondStart;
    int m_linesThisSecond = 0;
    std::int64_t m_suppressed = 0;
};

} // namespace lycheebay
