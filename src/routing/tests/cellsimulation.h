#pragma once

#include "dispatcherfixture.h"

#include "base/seededrandom.h"

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <utility>

namespace lycheebay {

/// Discrete-event simulation: sends Poisson arrivals through a dispatcher to modelled targets.
/// Four requests in five are idempotent lookups, which are hedged; the others are orders.
class CellSimulation
{
public:
    /// Service time of a request that starts now at a target; null if the request hangs.
    using Service = std::function<std::optional<Duration>(std::size_t target, SeededRandom &)>;

    /// Results of requests and number of attempts per target since the last takeCounts().
    struct Counts
    {
        std::size_t submitted = 0;
        std::size_t answered = 0;
        std::size_t timedOut = 0;
        std::size_t shed = 0;
        std::vector<std::size_t> sentTo;
    };

    CellSimulation(int targets, int slots, std::uint64_t seed, Service serviceOf)
        : service(std::move(serviceOf))
        , cell(targets, slots)
        , m_random(seed)
        , m_models(static_cast<std::size_t>(targets))
        , m_slots(slots)
    {
        takeCounts();
        tick();
        probe();
    }

    void run(double requestsPerSecond, Duration length)
    {
        m_rate = requestsPerSecond;
        m_arrivalsUntil = cell.now + length;
        if (m_rate > 0)
            scheduleArrival();
        while (!m_events.empty() && m_events.top().at <= m_arrivalsUntil) {
            const auto action = m_events.top().action;
            cell.now = m_events.top().at;
            m_events.pop();
            action();
        }
        cell.now = m_arrivalsUntil;
    }

    Counts takeCounts()
    {
        Counts fresh;
        fresh.sentTo.resize(m_models.size());
        return std::exchange(m_counts, fresh);
    }

    /// Number of requests that are queued or in flight.
    std::size_t openRequests() const { return m_open.size(); }

    static Duration exponential(Duration mean, SeededRandom &random)
    {
        const double factor = -std::log1p(-random.uniform());
        return Duration(static_cast<Duration::rep>(factor * static_cast<double>(mean.count())));
    }

    Service service;
    DispatcherFixture cell;

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    struct RunningAttempt
    {
        Assignment assignment;
        std::size_t target = 0;
        TimePoint sent;
        bool started = false;
    };

    struct TargetModel
    {
        std::deque<AttemptId> waiting;
        int busy = 0;
    };

    struct OpenRequest
    {
        bool idempotent = true;
        std::vector<AttemptId> attempts;
    };

    void post(Duration after, std::function<void()> action)
    {
        m_events.push({ cell.now + after, m_sequence++, std::move(action) });
    }

    void tick()
    {
        accept(cell.dispatcher.tick(cell.now));
        post(5ms, [this] { tick(); });
    }

    void probe()
    {
        for (const Probe &due : cell.dispatcher.dueProbes(cell.now)) {
            const bool answers = service(indexOf(due.targetId), m_random).has_value();
            post(answers ? 1ms : 500ms, [this, answers, id = due.targetId] {
                const std::optional<LoadReport> report =
                        answers ? std::optional(LoadReport{ 0, m_slots, TargetPhase::Warm, 1 })
                                : std::nullopt;
                accept(cell.dispatcher.completeProbe(id, report, cell.now));
            });
        }
        post(100ms, [this] { probe(); });
    }

    void scheduleArrival()
    {
        const auto gap = std::chrono::duration<double>(-std::log1p(-m_random.uniform()) / m_rate);
        const Duration after = std::chrono::duration_cast<Duration>(gap);
        if (cell.now + after >= m_arrivalsUntil)
            return;
        post(after, [this] {
            arrive();
            scheduleArrival();
        });
    }

    void arrive()
    {
        const bool order = m_random.below(5) == 0;
        const RequestId request = cell.lastRequest + 1;
        m_open[request] = { !order, {} };
        ++m_counts.submitted;
        post(kDeadline, [this, request] { endRequest(request, AttemptOutcome::TimedOut); });
        const Decision decision = cell.submit(order ? 2 : 1, kDeadline, !order);
        if (const auto *sent = std::get_if<Assignment>(&decision))
            accept({ *sent });
        else if (const auto *shed = std::get_if<Shed>(&decision))
            accept({ *shed });
    }

    void accept(const std::vector<Resolution> &resolutions)
    {
        for (const Resolution &resolution : resolutions) {
            if (const auto *sent = std::get_if<Assignment>(&resolution)) {
                send(*sent);
                continue;
            }
            ++m_counts.shed;
            m_open.erase(std::get<Shed>(resolution).request);
            cell.dispatcher.finish(std::get<Shed>(resolution).request);
        }
    }

    void send(const Assignment &assignment)
    {
        const std::size_t target = indexOf(assignment.targetId);
        ++m_counts.sentTo[target];
        m_running[assignment.attempt] = { assignment, target, cell.now };
        m_open[assignment.request].attempts.push_back(assignment.attempt);
        m_models[target].waiting.push_back(assignment.attempt);
        startNext(target);
        if (m_open[assignment.request].idempotent)
            post(cell.dispatcher.hedgeDelay(), [this, assignment] { hedge(assignment.request); });
    }

    void hedge(RequestId request)
    {
        const auto it = m_open.find(request);
        if (it == m_open.end() || it->second.attempts.size() != 1)
            return;
        if (const std::optional<Assignment> second = cell.dispatcher.hedge(request, cell.now))
            send(*second);
    }

    void startNext(std::size_t target)
    {
        TargetModel &model = m_models[target];
        while (model.busy < m_slots && !model.waiting.empty()) {
            const AttemptId attempt = model.waiting.front();
            model.waiting.pop_front();
            m_running[attempt].started = true;
            ++model.busy;
            if (const std::optional<Duration> time = service(target, m_random))
                post(*time, [this, attempt] { respond(attempt); });
        }
    }

    void respond(AttemptId attempt)
    {
        const auto it = m_running.find(attempt);
        if (it == m_running.end())
            return;
        const RequestId request = it->second.assignment.request;
        std::erase(m_open[request].attempts, attempt);
        endAttempt(attempt, AttemptOutcome::Succeeded);
        endRequest(request, AttemptOutcome::Cancelled);
    }

    /// Ends the remaining attempts of a request that was answered or reached its deadline.
    void endRequest(RequestId request, AttemptOutcome outcome)
    {
        const auto it = m_open.find(request);
        if (it == m_open.end())
            return;
        const std::vector<AttemptId> attempts = std::move(it->second.attempts);
        m_open.erase(it);
        ++(outcome == AttemptOutcome::TimedOut ? m_counts.timedOut : m_counts.answered);
        for (const AttemptId attempt : attempts)
            endAttempt(attempt, outcome);
        cell.dispatcher.finish(request);
    }

    void endAttempt(AttemptId attempt, AttemptOutcome outcome)
    {
        const RunningAttempt ended = m_running.at(attempt);
        m_running.erase(attempt);
        TargetModel &model = m_models[ended.target];
        if (ended.started)
            --model.busy;
        else
            std::erase(model.waiting, attempt);
        startNext(ended.target);
        const int inFlight = model.busy + static_cast<int>(model.waiting.size());
        std::optional<LoadReport> load;
        if (outcome == AttemptOutcome::Succeeded)
            load = LoadReport{ inFlight, m_slots, TargetPhase::Warm, 1 };
        accept(cell.complete(ended.assignment, outcome, cell.now - ended.sent, load));
    }

    static std::size_t indexOf(const std::string &targetId)
    {
        return std::stoul(targetId.substr(1));
    }

    static constexpr Duration kDeadline = 500ms;

    SeededRandom m_random;
    std::vector<TargetModel> m_models;
    int m_slots;
    double m_rate = 0;
    TimePoint m_arrivalsUntil;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    std::map<AttemptId, RunningAttempt> m_running;
    std::map<RequestId, OpenRequest> m_open;
    Counts m_counts;
};

} // namespace lycheebay
