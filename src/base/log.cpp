#include "base/log.h"

#include "base/boundedoutput.h"

#include <fmt/format.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <iterator>
#include <sstream>

namespace lycheebay {

namespace {

bool isPrintable(char c)
{
    return static_cast<unsigned char>(c) >= ' ' && c != '\x7f';
}

/// True if \a c cannot be taken for the end of a value or for an escape.
bool isValueCharacter(char c)
{
    return c > ' ' && c <= '~' && std::string_view("\"\\=,").find(c) == std::string_view::npos;
}

/// Writes each byte that \a isAllowed rejects as a hexadecimal escape.
std::string escape(std::string_view text, bool (*isAllowed)(char))
{
    std::string escaped;
    for (const char it : text) {
        if (isAllowed(it))
            escaped += it;
        else
            fmt::format_to(std::back_inserter(escaped), "\\x{:02x}",
                           static_cast<unsigned char>(it));
    }
    return escaped;
}

class BoundedAppender final : public log4cplus::Appender
{
public:
    explicit BoundedAppender(BoundedOutput &output)
        : m_output(output)
    {}
    ~BoundedAppender() override { destructorImpl(); }
    BoundedAppender(const BoundedAppender &) = delete;
    BoundedAppender &operator=(const BoundedAppender &) = delete;

    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        std::ostringstream text;
        layout->formatAndAppend(text, event);
        const std::string_view line = text.view();
        if (std::all_of(line.begin(), line.end(), isPrintable))
            m_output.writeLine(line);
        else
            m_output.writeLine(escape(line, isPrintable));
    }

private:
    BoundedOutput &m_output;
};

void useOnly(const log4cplus::SharedAppenderPtr &appender, const std::string &level)
{
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

} // namespace

void initializeLogging(const std::string &level)
{
    constexpr bool kLogToStdErr = true;
    constexpr bool kImmediateFlush = true;
    log4cplus::SharedAppenderPtr appender(
            new log4cplus::ConsoleAppender(kLogToStdErr, kImmediateFlush));
    appender->setLayout(
            std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c: %m%n"));
    useOnly(appender, level);
}

void initializeStructuredLogging(const std::string &level, BoundedOutput &output)
{
    log4cplus::SharedAppenderPtr appender(new BoundedAppender(output));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
            "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p part=%c %m"));
    useOnly(appender, level);
}

std::string logValue(std::string_view text)
{
    return text.empty() ? "-" : escape(text, isValueCharacter);
}

log4cplus::Logger componentLogger(const std::string &component)
{
    return log4cplus::Logger::getInstance(component);
}

} // namespace lycheebay
