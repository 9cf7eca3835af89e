#include "transport/internal/targetconnection.h"

#include "transport/loadheader.h"

namespace lycheebay {

namespace {

HttpRequest targetRequest(const Address &address, const HttpRequest &request)
{
    HttpRequest result{
        request.method, request.target, { { "Host", address.toString() } }, request.body
    };
    for (HttpHeader &it : endToEndHeaders(request.headers))
        result.headers.push_back(std::move(it));
    return result;
}

AttemptOutcome failureOutcome(StreamState state)
{
    if (state == StreamState::TimedOut)
        return AttemptOutcome::TimedOut;
    return state == StreamState::Cancelled ? AttemptOutcome::Cancelled
                                           : AttemptOutcome::ConnectionLost;
}

AttemptOutcome outcomeOfResponse(const HttpResponse &response)
{
    const std::string *notRun = findHeader(response.headers, kNotRunHeader);
    if (response.status == 503 && notRun && *notRun == "1")
        return AttemptOutcome::Shed;
    return response.status < 500 ? AttemptOutcome::Succeeded : AttemptOutcome::Failed;
}

} // namespace

bool TargetConnection::exchange(const Address &address, const HttpRequest &request,
                                TimePoint deadline, const Cancellation *cancellation,
                                std::size_t maxResponseBytes, ExchangeResult &exchangeResult)
{
    HttpMessageLimits limits;
    limits.bodyBytes = maxResponseBytes;
    BlockingExchange exchange =
            m_connection.exchange(targetRequest(address, request), deadline, cancellation, limits);
    exchangeResult.sent = exchange.isSent;
    exchangeResult.responseBegan = exchange.hasReceived;
    // A truncated response without a length could otherwise be taken for a complete one.
    if (!exchange.isAnswered || exchange.isFramedByEnd) {
        exchangeResult.result.outcome = failureOutcome(exchange.streamState);
        return false;
    }
    HttpResponse &response = exchange.response;
    response.headers = endToEndHeaders(response.headers);
    exchangeResult.result.outcome = outcomeOfResponse(response);
    if (const std::string *load = findHeader(response.headers, kLoadHeader))
        exchangeResult.result.load = parseLoadHeader(*load);
    exchangeResult.response = std::make_shared<const HttpResponse>(std::move(response));
    return exchange.isReusable;
}

} // namespace lycheebay
