#include "tools/load/caller.h"

#include "base/hash.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <thread>

namespace lycheebay::load {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kConnectTimeout(500);
/// Time that an entry has, beyond the deadline, to state the outcome.
constexpr std::int64_t kResponseGraceMs = 500;
constexpr int kMinRetryMs = 20;
constexpr int kMaxRetryMs = 300;
constexpr int kMaxDoublings = 4;

bool isWholeAnswer(const PlannedRequest &request, const std::string &text)
{
    const json body = json::parse(text, nullptr, false);
    return body.is_object() && body.value("id", json()) == request.id
           && body.value("sum", json()) == fmt::format("{:016x}", hash64(request.body));
}

struct Refusal
{
    Outcome outcome = Outcome::Done;
    std::string reason;
    int retryAfterMs = 0;
};

/// An answer without a stated outcome was given by the target: the request ran.
Refusal readRefusal(const httplib::Response &response)
{
    Refusal refusal;
    if (response.get_header_value("Lycheebay-Not-Run") == "1")
        refusal.outcome = Outcome::NotRun;
    if (!response.get_header_value("Content-Type").starts_with("application/problem+json"))
        return refusal;
    const json body = json::parse(response.body, nullptr, false);
    if (!body.is_object())
        return { Outcome::Unknown, "malformed refusal", 0 };
    refusal.outcome =
            body.value("outcome", json()) == "not-run" ? Outcome::NotRun : Outcome::Unknown;
    const json reason = body.value("reason", json());
    refusal.reason = reason.is_string() ? reason.get<std::string>() : "";
    const json retryAfter = body.value("retryAfterMs", json());
    refusal.retryAfterMs = retryAfter.is_number() ? retryAfter.get<int>() : 0;
    return refusal;
}

} // namespace

Caller::Caller(const LoadSettings &settings, AddressBook &book, Time start)
    : m_settings(settings)
    , m_book(book)
    , m_start(start)
{}

Caller::~Caller() = default;

RequestRecord Caller::run(const PlannedRequest &request)
{
    RequestRecord record;
    record.id = request.id;
    record.service = request.part->service;
    record.kind = request.part->kind;
    record.path = request.path;
    record.intendedUs = request.intendedUs;
    m_deadlineUs = request.intendedUs + std::int64_t(m_settings.deadlineMs) * 1000;

    Route route;
    for (int n = 0; n < m_settings.maxTries && (n == 0 || remainingMs() > 0); ++n) {
        if (route.addresses.empty()) {
            auto chosen = chooseRoute(request, static_cast<std::size_t>(n));
            if (!chosen.ok()) {
                waitBeforeRetry(kMaxRetryMs, n);
                continue;
            }
            route = std::move(*chosen);
        }
        const Sent sent = sendOnRoute(request, route);
        addTry(request, sent, record);
        if (sent.attempt.outcome == Outcome::Done)
            break;
        adaptRoute(request, sent, route);
        waitBeforeRetry(sent.retryAfterMs, n);
    }
    record.endUs = nowUs();
    return record;
}

void Caller::addTry(const PlannedRequest &request, const Sent &sent, RequestRecord &record)
{
    // Nothing was sent, so nothing was learnt about earlier tries.
    if (sent.isRefusedConnection) {
        ++record.connectionsRefused;
        return;
    }
    const bool wasUnknown = !record.tries.empty() && record.outcome == Outcome::Unknown;
    const bool staysUnknown = wasUnknown && request.part->kind == Kind::Lookup
                              && sent.attempt.outcome == Outcome::NotRun;
    record.tries.push_back(sent.attempt);
    record.isWrong = record.isWrong || sent.isWrong;
    if (!staysUnknown)
        record.outcome = sent.attempt.outcome;
}

absl::StatusOr<Caller::Route> Caller::chooseRoute(const PlannedRequest &request,
                                                  std::size_t tryNumber)
{
    Route route;
    if (request.path == Path::Direct) {
        const auto address =
                parseAddress(m_settings.direct[m_directIndex++ % m_settings.direct.size()]);
        if (!address.ok())
            return address.status();
        route.addresses = { *address };
        route.ticket = "direct";
    } else {
        auto answer = m_book.get(request.part->service);
        if (!answer.ok())
            return answer.status();
        route.addresses = answer->addresses;
        route.ticket = answer->ticket;
    }
    route.key = request.part->kind == Kind::Lookup
                        ? request.id
                        : fmt::format("{}~{}-{}", route.ticket, request.id, tryNumber);
    return route;
}

Caller::Sent Caller::sendOnRoute(const PlannedRequest &request, Route &route)
{
    Sent sent;
    // A ticket is valid only at its own incarnation, the first address, so orders try no other.
    const std::size_t count = request.part->kind == Kind::Order ? 1 : route.addresses.size();
    for (std::size_t n = 0; n < count; ++n) {
        sent = send(request, route.addresses[n], route.key);
        if (!sent.isRefusedConnection)
            return sent;
    }
    return sent;
}

Caller::Sent Caller::send(const PlannedRequest &request, const Address &address,
                          const std::string &key)
{
    Sent sent;
    sent.attempt.key = key;
    sent.attempt.address = address.toString();
    sent.attempt.sentUs = nowUs();
    const std::int64_t deadlineMs = std::max<std::int64_t>(1, remainingMs());
    const bool isOrder = request.part->kind == Kind::Order;
    httplib::Headers headers = { { "X-Request-Id", request.id },
                                 { "Lycheebay-Deadline-Ms", std::to_string(deadlineMs) } };
    if (isOrder)
        headers.emplace("Idempotency-Key", key);
    if (!m_settings.tenant.empty())
        headers.emplace("Lycheebay-Tenant", m_settings.tenant);
    if (request.serviceTimeUs > 0)
        headers.emplace("X-Service-Time-Us", std::to_string(request.serviceTimeUs));
    const std::string prefix =
            request.path == Path::Direct ? "" : "/services/" + request.part->service;
    const std::string target = prefix + request.part->path + request.query;

    httplib::Client &http = client(address);
    http.set_read_timeout(std::chrono::milliseconds(deadlineMs + kResponseGraceMs));
    const auto result = isOrder ? http.Post(target, headers, request.body, "application/json")
                                : http.Get(target, headers);
    sent.attempt.endUs = nowUs();
    if (!result) {
        sent.isRefusedConnection = result.error() == httplib::Error::Connection
                                   || result.error() == httplib::Error::ConnectionTimeout;
        sent.attempt.outcome = sent.isRefusedConnection ? Outcome::NotRun : Outcome::Unknown;
        sent.attempt.reason = httplib::to_string(result.error());
        return sent;
    }
    const Refusal refusal = readRefusal(*result);
    sent.attempt.status = result->status;
    sent.attempt.outcome = refusal.outcome;
    sent.attempt.reason = refusal.reason;
    sent.retryAfterMs = refusal.retryAfterMs;
    sent.isWrong = result->status < 300 && !isWholeAnswer(request, result->body);
    return sent;
}

void Caller::adaptRoute(const PlannedRequest &request, const Sent &sent, Route &route)
{
    if (!sent.isRefusedConnection) {
        const bool isOrder = request.part->kind == Kind::Order;
        route.isPinned = isOrder && sent.attempt.outcome == Outcome::Unknown;
    }
    if (route.isPinned)
        return;
    if (request.path == Path::Entry) {
        if (sent.isRefusedConnection || sent.attempt.outcome == Outcome::Unknown)
            m_book.dropAndChangeEntry(request.part->service, route.ticket);
        else
            m_book.drop(request.part->service, route.ticket);
    }
    route = Route();
}

void Caller::waitBeforeRetry(int retryAfterMs, int tryNumber) const
{
    const int backoffMs = std::min(kMaxRetryMs, kMinRetryMs << std::min(tryNumber, kMaxDoublings));
    const std::int64_t waitMs = std::clamp(retryAfterMs, backoffMs, kMaxRetryMs);
    std::this_thread::sleep_for(
            std::chrono::milliseconds(std::max<std::int64_t>(0, std::min(waitMs, remainingMs()))));
}

httplib::Client &Caller::client(const Address &address)
{
    auto &it = m_clients[address];
    if (!it) {
        it = std::make_unique<httplib::Client>(address.host, address.port);
        it->set_keep_alive(true);
        it->set_tcp_nodelay(true);
        it->set_connection_timeout(kConnectTimeout);
    }
    return *it;
}

std::int64_t Caller::nowUs() const
{
    const auto elapsed = std::chrono::steady_clock::now() - m_start;
    return std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count();
}

std::int64_t Caller::remainingMs() const
{
    return (m_deadlineUs - nowUs()) / 1000;
}

} // namespace lycheebay::load
