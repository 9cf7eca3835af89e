#include "routing/celldispatcher.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

using namespace lycheebay;
using namespace std::chrono_literals;

namespace {

constexpr int kWarmUpRequests = 40;
constexpr Duration kLatency = 10ms;
constexpr Duration kDeadline = 100ms;
constexpr int kMaxSubmissions = 100;

/// Picks targets for one service. A program that sends real requests passes the time of its own
/// monotonic clock and serializes the calls.
class Picker
{
public:
    Picker()
        : m_dispatcher({}, 1)
    {
        m_dispatcher.updateTargets({ { "left", { "127.0.0.1", 9001 }, 1, 1, true },
                                     { "right", { "127.0.0.1", 9002 }, 1, 1, true } },
                                   m_now);
    }

    Decision submit()
    {
        return m_dispatcher.submit(++m_lastRequest, { 1, true, m_now + kDeadline }, m_now);
    }

    Decision retry() { return m_dispatcher.retry(m_lastRequest, m_now); }

    /// Ends an attempt. The returned resolutions, empty here, decide requests that waited.
    void complete(const Assignment &assignment, AttemptOutcome outcome)
    {
        m_now += kLatency;
        m_dispatcher.complete(assignment.attempt, { outcome, kLatency, {} }, m_now);
    }

    void finish() { m_dispatcher.finish(m_lastRequest); }

private:
    CellDispatcher m_dispatcher;
    TimePoint m_now{ 1h };
    RequestId m_lastRequest = 0;
};

/// Gives the dispatcher latencies to estimate waits with, and a budget for retries.
bool warmUp(Picker &picker)
{
    for (int i = 0; i < kWarmUpRequests; ++i) {
        const Decision decision = picker.submit();
        const auto *assignment = std::get_if<Assignment>(&decision);
        if (!assignment)
            return false;
        picker.complete(*assignment, AttemptOutcome::Succeeded);
        picker.finish();
    }
    return true;
}

/// A request whose connection failed certainly did not run, so that it may be sent elsewhere.
bool showRetry(Picker &picker)
{
    const Decision first = picker.submit();
    const auto *failed = std::get_if<Assignment>(&first);
    if (!failed)
        return false;
    picker.complete(*failed, AttemptOutcome::NotConnected);
    const Decision second = picker.retry();
    const auto *again = std::get_if<Assignment>(&second);
    if (!again)
        return false;
    picker.complete(*again, AttemptOutcome::Succeeded);
    picker.finish();
    std::cout << "retry: " << failed->targetId << " refused the connection, " << again->targetId
              << " answered\n";
    return failed->targetId != again->targetId;
}

/// Requests wait while every slot is taken, until one would wait beyond its deadline.
bool showShed(Picker &picker)
{
    int sent = 0;
    int queued = 0;
    for (int i = 0; i < kMaxSubmissions; ++i) {
        const Decision decision = picker.submit();
        if (const auto *shed = std::get_if<Shed>(&decision)) {
            const auto wait = std::chrono::ceil<std::chrono::milliseconds>(shed->retryAfter);
            std::cout << "shed: " << sent << " sent, " << queued
                      << " queued, the next one refused; retry after " << wait.count() << " ms\n";
            return shed->reason == ShedReason::Overloaded && sent > 0 && queued > 0;
        }
        ++(std::holds_alternative<Assignment>(decision) ? sent : queued);
    }
    return false;
}

} // namespace

int main()
{
    Picker picker;
    if (warmUp(picker) && showRetry(picker) && showShed(picker))
        return EXIT_SUCCESS;
    std::cerr << "embed: a decision was not the expected one\n";
    return EXIT_FAILURE;
}
