#pragma once

#include "outcomes/outcome.h"

namespace lycheebay {

/// The body of type application/problem+json for a refusal; \a outcome is "not-run" or "unknown".
HttpResponse problemResponse(const char *outcome, const Refusal &refusal);
/// Renders an outcome for the caller. Precondition: a Done has a response.
HttpResponse renderOutcome(const Outcome &outcome);

} // namespace lycheebay
