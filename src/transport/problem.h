#pragma once

#include "outcomes/outcome.h"

namespace lycheebay {

/// Returns a response with a body of type application/problem+json for \a refusal. \a outcome is
/// "not-run" or "unknown".
HttpResponse problemResponse(const char *outcome, const Refusal &refusal);
/// Converts an outcome to the response for the caller. Precondition: a Done has a response.
HttpResponse renderOutcome(const Outcome &outcome);
/// Converts a response that another entry made with renderOutcome() back to an outcome. A response
/// without the header Lycheebay-Outcome is Done; one with an unrecognized value is Unknown.
/// Precondition: \a response is not null.
Outcome parseOutcome(const std::shared_ptr<const HttpResponse> &response);

} // namespace lycheebay
