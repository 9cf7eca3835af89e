#include "base/log.h"

#include "base/boundedoutput.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <sstream>

namespace lycheebay {

namespace {

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
        m_output.writeLine(text.view());
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

log4cplus::Logger componentLogger(const std::string &component)
{
    return log4cplus::Logger::getInstance(component);
}

} // namespace lycheebay
