#pragma once

#include "routing/internal/targettable.h"

namespace lycheebay {

/// Verdicts on all listed targets that are ejected, draining or of known phase.
std::vector<TargetVerdict> verdictsOf(const TargetTable &targets, TimePoint now);

/// Status of all listed targets. \a prior is the cell's mean latency in seconds.
std::vector<TargetStatus> statusOf(const TargetTable &targets, double prior, TimePoint now);

} // namespace lycheebay
