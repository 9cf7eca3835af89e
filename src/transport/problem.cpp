#include "transport/problem.h"

#include "transport/loadheader.h"

#include <nlohmann/json.hpp>

namespace lycheebay {

namespace {

using std::chrono::ceil;
using std::chrono::milliseconds;
using std::chrono::seconds;

Refusal parseRefusal(const HttpResponse &response)
{
    Refusal refusal{ response.status, "refused by another entry", {} };
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object())
        return refusal;
    const auto reason = body.find("reason");
    if (reason != body.end() && reason->is_string())
        refusal.reason = reason->get<std::string>();
    const auto retryAfter = body.find("retryAfterMs");
    if (retryAfter != body.end() && retryAfter->is_number_unsigned())
        refusal.retryAfter = milliseconds(retryAfter->get<std::uint32_t>());
    return refusal;
}

} // namespace

HttpResponse problemResponse(const char *outcome, const Refusal &refusal)
{
    nlohmann::json body{ { "type", "about:blank" },
                         { "status", refusal.status },
                         { "outcome", outcome },
                         { "reason", refusal.reason } };
    HttpResponse response;
    response.status = refusal.status;
    response.headers.push_back({ "Content-Type", "application/problem+json" });
    response.headers.push_back({ kOutcomeHeader, outcome });
    if (refusal.retryAfter > Duration::zero()) {
        body["retryAfterMs"] = ceil<milliseconds>(refusal.retryAfter).count();
        response.headers.push_back(
                { "Retry-After", std::to_string(ceil<seconds>(refusal.retryAfter).count()) });
    }
    // Replaces invalid UTF-8 instead of throwing, because a reason may quote bytes from the caller.
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

HttpResponse renderOutcome(const Outcome &outcome)
{
    if (const auto *done = std::get_if<Done>(&outcome))
        return *done->response;
    if (const auto *notRun = std::get_if<NotRun>(&outcome))
        return problemResponse("not-run", notRun->refusal);
    return problemResponse("unknown", std::get<Unknown>(outcome).refusal);
}

Outcome parseOutcome(const std::shared_ptr<const HttpResponse> &response)
{
    const std::string *outcome = findHeader(response->headers, kOutcomeHeader);
    if (!outcome)
        return Done{ response };
    if (*outcome == "not-run")
        return NotRun{ parseRefusal(*response) };
    return Unknown{ parseRefusal(*response) };
}

} // namespace lycheebay
