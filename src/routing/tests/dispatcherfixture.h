#pragma once

#include "routing/celldispatcher.h"

#include <chrono>
#include <string>
#include <vector>

namespace lycheebay {

using namespace std::chrono_literals;

/// A dispatcher with a manual clock and shorthands for the steps of a test.
struct DispatcherFixture
{
    explicit DispatcherFixture(int targets, int slots = 4, DispatcherSettings settings = {})
        : dispatcher(settings, 7)
    {
        for (int i = 0; i < targets; ++i)
            specs.push_back({ "t" + std::to_string(i), { "127.0.0.1", 80 }, slots, 1, true });
        dispatcher.updateTargets(specs, now);
    }

    Decision submit(int weight = 1, Duration deadline = 10s, bool idempotent = true)
    {
        return dispatcher.submit(++lastRequest, { weight, idempotent, now + deadline }, now);
    }

    std::vector<Resolution> complete(const Assignment &assignment, AttemptOutcome outcome,
                                     Duration latency = 10ms, std::optional<LoadReport> load = {})
    {
        return dispatcher.complete(assignment.attempt, { outcome, latency, load }, now);
    }

    /// Runs enough rounds of requests to raise the limit of every target to its slots.
    void warmUp(int rounds = 30)
    {
        for (int round = 0; round < rounds; ++round) {
            std::vector<Assignment> sent;
            for (std::size_t i = 0; i < specs.size(); ++i) {
                if (const auto decision = submit(); std::holds_alternative<Assignment>(decision))
                    sent.push_back(std::get<Assignment>(decision));
            }
            now += 10ms;
            for (const Assignment &assignment : sent) {
                complete(assignment, AttemptOutcome::Succeeded);
                dispatcher.finish(assignment.request);
            }
        }
    }

    /// Fails requests at the target \a id one after the other until it is ejected, in at most
    /// \a tries requests. Requests at other targets succeed.
    void failTarget(const std::string &id, AttemptOutcome outcome, int tries = 200)
    {
        while (tries-- > 0 && !status(id).ejected) {
            const Decision decision = submit();
            now += 10ms;
            if (const auto *sent = std::get_if<Assignment>(&decision))
                complete(*sent, sent->targetId == id ? outcome : AttemptOutcome::Succeeded);
            dispatcher.finish(lastRequest);
        }
    }

    TargetStatus status(const std::string &id) const
    {
        for (const TargetStatus &status : dispatcher.status(now)) {
            if (status.id == id)
                return status;
        }
        return {};
    }

    CellDispatcher dispatcher;
    std::vector<TargetSpec> specs;
    TimePoint now{ 1h };
    RequestId lastRequest = 0;
};

} // namespace lycheebay
