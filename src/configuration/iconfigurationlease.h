#pragma once

#include "base/iclock.h"

namespace lycheebay {

/// Tells whether this instance's configuration view is attested recently enough to give new work.
class IConfigurationLease
{
public:
    virtual ~IConfigurationLease() = default;

    /// Wait-free and thread-safe; meant for every request. \a now is monotonic time read by the
    /// caller right before the send, so that a process that was paused sees its lease expired.
    virtual bool isValid(TimePoint now) const = 0;
};

} // namespace lycheebay
