#pragma once

#include "routing/celldispatcher.h"
#include "workload.h"

#include <deque>
#include <functional>
#include <queue>
#include <unordered_map>
#include <utility>

namespace lycheebay {

/// Runs one workload against a CellDispatcher with an event queue of targets.
class CellRun
{
public:
    CellRun(const BenchSettings &settings, const Workload &workload, StrategyKind kind)
        : m_settings(settings)
        , m_workload(workload)
        , m_dispatcher({ .strategy = kind }, settings.seed)
        , m_targets(workload.slowdowns.size())
    {
        std::vector<TargetSpec> specs;
        for (std::size_t i = 0; i < m_targets.size(); ++i)
            specs.push_back({ std::to_string(i), {}, settings.slots, 1, true });
        m_dispatcher.updateTargets(specs, kStart);
    }

    BenchResult run()
    {
        post(m_workload.jobs.front().arrival, [this] { arrive(0); });
        tick();
        while (!m_events.empty()) {
            const auto step = m_events.top().step;
            m_now = m_events.top().at;
            m_events.pop();
            step();
        }
        return m_result;
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t sequence = 0;
        std::function<void()> step;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    struct Running
    {
        RequestId request = 0;
        std::size_t target = 0;
        TimePoint sent;
        bool completed = false; ///< as the dispatcher sees it
        bool started = false;   ///< at the target
        bool ended = false;     ///< at the target
    };

    struct TargetModel
    {
        std::deque<AttemptId> queue;
        int busy = 0;
    };

    void post(TimePoint at, std::function<void()> step)
    {
        m_events.push({ at, m_sequence++, std::move(step) });
    }

    void tick()
    {
        resolve(m_dispatcher.tick(m_now));
        for (const TargetVerdict &verdict : m_dispatcher.verdicts(m_now))
            m_result.ejectedTicks += verdict.ejected;
        if (m_now < m_workload.jobs.back().arrival || !m_open.empty())
            post(m_now + std::chrono::milliseconds(5), [this] { tick(); });
    }

    void arrive(RequestId request)
    {
        if (request + 1 < m_workload.jobs.size())
            post(m_workload.jobs[request + 1].arrival, [=, this] { arrive(request + 1); });
        const Job &job = m_workload.jobs[request];
        const TimePoint limit = m_now + m_settings.deadline();
        m_open[request] = {};
        post(limit, [=, this] { endRequest(request, AttemptOutcome::TimedOut); });
        const RequestTraits traits{ job.order ? 2 : 1, !job.order, limit };
        const Decision decision = m_dispatcher.submit(request, traits, m_now);
        if (const auto *assignment = std::get_if<Assignment>(&decision))
            send(*assignment);
        else if (const auto *shed = std::get_if<Shed>(&decision))
            resolve({ *shed });
    }

    void send(const Assignment &assignment)
    {
        const AttemptId attempt = assignment.attempt;
        const RequestId request = assignment.request;
        m_running[attempt] = { request, std::stoul(assignment.targetId), m_now };
        m_open[request].push_back(attempt);
        post(m_now + m_settings.delay(), [=, this] {
            m_targets[m_running[attempt].target].queue.push_back(attempt);
            startNext(m_running[attempt].target);
        });
        if (m_settings.hedging && !m_workload.jobs[request].order)
            post(m_now + m_dispatcher.hedgeDelay(), [=, this] { hedge(request); });
    }

    void resolve(const std::vector<Resolution> &resolutions)
    {
        for (const Resolution &resolution : resolutions) {
            if (const auto *assignment = std::get_if<Assignment>(&resolution)) {
                send(*assignment);
                continue;
            }
            const RequestId request = std::get<Shed>(resolution).request;
            m_open.erase(request);
            m_dispatcher.finish(request);
            m_result.sheds += m_workload.jobs[request].arrival >= kMeasuredFrom;
        }
    }

    void startNext(std::size_t target)
    {
        TargetModel &model = m_targets[target];
        while (model.busy < m_settings.slots && !model.queue.empty()) {
            const AttemptId attempt = model.queue.front();
            model.queue.pop_front();
            m_running[attempt].started = true;
            ++model.busy;
            const double seconds = m_workload.jobs[m_running[attempt].request].serviceSeconds
                                   * m_workload.factor(target, m_now);
            post(m_now + std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9)),
                 [=, this] {
                     if (endService(attempt))
                         post(m_now + m_settings.delay(), [=, this] { respond(attempt); });
                 });
        }
    }

    /// Frees the slot or the queue place of an attempt; false when that was done before.
    bool endService(AttemptId attempt)
    {
        Running &running = m_running[attempt];
        if (std::exchange(running.ended, true))
            return false;
        TargetModel &model = m_targets[running.target];
        if (running.started)
            --model.busy;
        else
            std::erase(model.queue, attempt);
        startNext(running.target);
        return true;
    }

    void respond(AttemptId attempt)
    {
        Running &running = m_running[attempt];
        if (std::exchange(running.completed, true))
            return;
        const TargetModel &model = m_targets[running.target];
        const int inFlight = model.busy + static_cast<int>(model.queue.size());
        const LoadReport load{ inFlight, m_settings.slots, TargetPhase::Warm, 1 };
        const Duration latency = m_now - running.sent;
        resolve(m_dispatcher.complete(attempt, { AttemptOutcome::Succeeded, latency, load },
                                      m_now));
        endRequest(running.request, AttemptOutcome::Cancelled);
    }

    void hedge(RequestId request)
    {
        const auto it = m_open.find(request);
        if (it == m_open.end() || it->second.size() != 1)
            return;
        if (const std::optional<Assignment> second = m_dispatcher.hedge(request, m_now)) {
            ++m_result.hedges;
            send(*second);
        }
    }

    /// Ends what still runs of a request that was answered or reached its deadline.
    void endRequest(RequestId request, AttemptOutcome outcome)
    {
        const auto it = m_open.find(request);
        if (it == m_open.end())
            return;
        const std::vector<AttemptId> attempts = std::move(it->second);
        m_open.erase(it);
        m_result.add(m_workload.jobs[request], m_now, m_settings.deadline());
        for (const AttemptId attempt : attempts) {
            if (std::exchange(m_running[attempt].completed, true))
                continue;
            post(m_now + m_settings.delay(), [=, this] { endService(attempt); });
            const Duration latency = m_now - m_running[attempt].sent;
            resolve(m_dispatcher.complete(attempt, { outcome, latency, {} }, m_now));
        }
        m_dispatcher.finish(request);
    }

    const BenchSettings &m_settings;
    const Workload &m_workload;
    CellDispatcher m_dispatcher;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    TimePoint m_now = kStart;
    std::unordered_map<AttemptId, Running> m_running;
    std::unordered_map<RequestId, std::vector<AttemptId>> m_open;
    std::vector<TargetModel> m_targets;
    BenchResult m_result;
};

} // namespace lycheebay
