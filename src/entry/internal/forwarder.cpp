#include "entry/internal/forwarder.h"

#include "transport/loadheader.h"
#include "transport/problem.h"

#include <algorithm>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

std::size_t messageBytes(const HttpHeaders &headers, const std::string &body)
{
    std::size_t bytes = body.size();
    for (const HttpHeader &header : headers)
        bytes += header.name.size() + header.value.size();
    return bytes;
}

} // namespace

Forwarder::Forwarder(const EntrySettings &settings, const IClock &clock,
                     const IConfigurationLease &lease, TargetClient &client,
                     EntryCounters &counters)
    : m_settings(settings)
    , m_clock(clock)
    , m_lease(lease)
    , m_client(client)
    , m_counters(counters)
    , m_spillBudget(settings.spillBytesPerSecond)
{}

std::optional<Outcome> Forwarder::forward(RequestContext &context, const Member &entry)
{
    ++m_counters.forwarded;
    std::size_t responseBytes = 0;
    return exchange(context, entry, responseBytes);
}

std::optional<Outcome> Forwarder::spill(RequestContext &context)
{
    const Member *entry = spillEntry(context);
    if (!entry)
        return {};
    const std::size_t bytes = messageBytes(context.request.headers, context.request.body);
    if (!m_spillBudget.tryTake(bytes, m_clock.now())) {
        ++m_counters.spillsOverBudget;
        return {};
    }
    ++m_counters.spilled;
    std::size_t responseBytes = 0;
    auto outcome = exchange(context, *entry, responseBytes);
    m_spillBudget.charge(responseBytes);
    m_counters.spilledBytes += bytes + responseBytes;
    return outcome;
}

const Member *Forwarder::spillEntry(const RequestContext &context) const
{
    for (const std::string &region : context.configuration->estate()->regionsOf(context.service)) {
        if (region == m_settings.self.region || !context.mayBeServedIn(region))
            continue;
        if (const Member *entry = context.plan->dispatcher(context.service, region))
            return entry;
    }
    return nullptr;
}

std::optional<Outcome> Forwarder::exchange(RequestContext &context, const Member &entry,
                                           std::size_t &responseBytes)
{
    const TimePoint began = m_clock.now();
    HttpRequest message = context.request;
    setHeader(message.headers, kForwardedHeader, forwardedValue(m_settings.self.incarnation));
    const auto left = std::chrono::ceil<milliseconds>(context.deadline - began).count();
    setHeader(message.headers, kDeadlineHeader, std::to_string(std::max<std::int64_t>(left, 1)));
    const ExchangeResult answer =
            m_client.exchange(entry.identity.http, message, context.deadline, nullptr,
                              [this](TimePoint now) { return m_lease.isValid(now); });
    context.upstreamTime += m_clock.now() - began;
    if (answer.response) {
        responseBytes = messageBytes(answer.response->headers, answer.response->body);
        return parseOutcome(answer.response);
    }
    if (!answer.sent)
        return {};
    context.mayHaveRun = true;
    if (answer.result.outcome == AttemptOutcome::TimedOut)
        return Unknown{ { 504, "no response by the deadline", {} } };
    if (context.route.idempotent)
        return {};
    return Unknown{ { 502, "the dispatcher's response was lost", {} } };
}

} // namespace lycheebay
