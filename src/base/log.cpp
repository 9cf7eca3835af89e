#include "base/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>

namespace lycheebay {

void initializeLogging(const std::string &level)
{
    constexpr bool kLogToStdErr = true;
    constexpr bool kImmediateFlush = true;
    log4cplus::SharedAppenderPtr appender(
            new log4cplus::ConsoleAppender(kLogToStdErr, kImmediateFlush));
    appender->setLayout(
            std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c: %m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

log4cplus::Logger componentLogger(const std::string &component)
{
    return log4cplus::Logger::getInstance(component);
}

} // namespace lycheebay
