#pragma once

#include "base/iclock.h"
#include "routing/routingtypes.h"

namespace lycheebay {

class TargetState;

enum class AttemptKind {
    Regular,
    Trial,      ///< at an ejected target, to see whether it works again
    BeyondSlots ///< waits at the target for the next slot that becomes free
};

/// One request sent to a target and not completed yet.
struct Attempt
{
    RequestId request = 0;
    TargetState *target = nullptr;
    TimePoint startedAt;
    /// Sent to an ejected target to see whether it works again.
    bool trial = false;
};

} // namespace lycheebay
