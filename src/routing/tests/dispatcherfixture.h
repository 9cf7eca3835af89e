#pragma once

#include "routing/celldispatcher.h"

#include <chrono>
#include <string>
#include <vector>

namespace lycheebay {

using namespace std::chrono_literals;

/// A dispatcher with a clock of its own and short forms for the steps of a test.
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

    std::vector<Resolution> end(const Assignment &assignment, AttemptOutcome outcome,
                                Duration latency = 10ms, std::optional<LoadReport> load = {})
    {
        return dispatcher.complete(assignment.attempt, { outcome, latency, load }, now);
    }

    /// Sends enough requests, one after the other, to bring every target to its full limit.
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
                end(assignment, AttemptOutcome::Succeeded);
                dispatcher.finish(assignment.request);
            }
        }
    }

    /// Fails one request after another at the target until it is ejected or \a tries are used up.
    /// Requests that go elsewhere are answered.
    void failTarget(const std::string &id, AttemptOutcome outcome, int tries = 200)
    {
        while (tries-- > 0 && !status(id).ejected) {
            const Decision decision = submit();
            now += 10ms;
            if (const auto *sent = std::get_if<Assignment>(&decision))
                end(*sent, sent->targetId == id ? outcome : AttemptOutcome::Succeeded);
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
