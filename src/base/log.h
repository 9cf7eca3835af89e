#pragma once

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <string>
#include <string_view>

namespace lycheebay {

class BoundedOutput;

/// Sets up logging to standard error. Call once, before the first thread starts.
/// \a level is one of TRACE, DEBUG, INFO, WARN, ERROR and OFF.
void initializeLogging(const std::string &level);

/// Sets up logging to \a output, which must outlive all logging, in lines of the form
/// "time=... level=... part=... event=...". Control characters are written as hexadecimal escapes,
/// so that each event is one line. Call once, before the first thread starts.
void initializeStructuredLogging(const std::string &level, BoundedOutput &output);

/// Returns text that others wrote as the value of a field of a log line: spaces, control and
/// non-ASCII characters, quotes, backslashes, '=' and ',' are written as hexadecimal escapes, and
/// no text as "-". Thread-safe.
std::string logValue(std::string_view text);

/// Returns the logger of one component; its name is the fixed prefix of its lines. Thread-safe.
log4cplus::Logger componentLogger(const std::string &component);

} // namespace lycheebay
