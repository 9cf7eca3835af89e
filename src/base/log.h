#pragma once

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <string>

namespace lycheebay {

class BoundedOutput;

/// Sets up logging to standard error. Call once, before the first thread starts.
/// \a level is one of TRACE, DEBUG, INFO, WARN, ERROR and OFF.
void initializeLogging(const std::string &level);

/// Sets up logging to \a output, which must outlive all logging, in lines of the form
/// "time=... level=... part=... event=...". Call once, before the first thread starts.
void initializeStructuredLogging(const std::string &level, BoundedOutput &output);

/// Returns the logger of one component; its name is the fixed prefix of its lines. Thread-safe.
log4cplus::Logger componentLogger(const std::string &component);

} // namespace lycheebay
