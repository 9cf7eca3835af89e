#pragma once

#include "outcomes/outcome.h"

namespace lycheebay {

/// The body of type application/problem+json for a refusal; \a outcome is "not-run" or "unknown".
HttpResponse problemResponse(const char *outcome, const Refusal &refusal);
/// Renders an outcome for the caller. Precondition: a Done has a response.
HttpResponse renderOutcome(const Outcome &outcome);
/// Reads back what another entry rendered. A response without the header Lycheebay-Outcome is
/// Done; an unreadable one is Unknown. Precondition: \a response is not null.
Outcome parseOutcome(const std::shared_ptr<const HttpResponse> &response);

} // namespace lycheebay
