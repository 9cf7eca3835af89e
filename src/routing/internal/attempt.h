#pragma once

#include "base/iclock.h"
#include "routing/routingtypes.h"

namespace lycheebay {

class TargetState;

enum class AttemptKind {
    Regular,
    Trial,      ///< at an ejected target, to check whether it has recovered
    BeyondSlots ///< waits at the target for its next free slot
};

/// A request that was sent to a target and has not completed.
struct Attempt
{
    RequestId request = 0;
    TargetState *target = nullptr;
    TimePoint startedAt;
    /// True for AttemptKind::Trial.
    bool trial = false;
};

} // namespace lycheebay
