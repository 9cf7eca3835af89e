#include "cellrun.h"

#include "routing/internal/seconds.h"

#include <algorithm>
#include <utility>

namespace lycheebay {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(5);

DispatcherSettings dispatcherSettings(StrategyKind kind)
{
    DispatcherSettings settings;
    settings.strategy = kind;
    return settings;
}

} // namespace

CellRun::CellRun(const BenchSettings &settings, const Workload &workload, StrategyKind kind)
    : m_settings(settings)
    , m_workload(workload)
    , m_dispatcher(dispatcherSettings(kind), settings.seed)
    , m_targets(workload.slowdowns.size())
{
    std::vector<TargetSpec> specs;
    for (std::size_t i = 0; i < m_targets.size(); ++i)
        specs.push_back({ std::to_string(i), {}, settings.slots, 1, true });
    m_dispatcher.updateTargets(specs, kStart);
}

BenchResult CellRun::run()
{
    post(m_workload.jobs.front().arrival, EventKind::Arrive, 0);
    post(kStart, EventKind::Tick, 0);
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        handle(event);
    }
    const std::size_t good = m_result.latenciesMs.size() - m_result.late;
    m_result.goodput = static_cast<double>(good) / m_settings.seconds;
    return m_result;
}

void CellRun::post(TimePoint at, EventKind kind, std::uint64_t id)
{
    m_events.push({ at, m_sequence++, kind, id });
}

void CellRun::handle(const Event &event)
{
    switch (event.kind) {
    case EventKind::Arrive:
        return arrive(event.id);
    case EventKind::Reach:
        return reach(event.id);
    case EventKind::ServiceEnd:
        return serviceEnd(event.id);
    case EventKind::Response:
        return response(event.id);
    case EventKind::Cancel:
        return cancel(event.id);
    case EventKind::Hedge:
        return hedge(event.id);
    case EventKind::Deadline:
        return deadline(event.id);
    case EventKind::Tick:
        resolve(m_dispatcher.tick(m_now));
        if (m_now < m_workload.jobs.back().arrival || !m_open.empty())
            post(m_now + kTickPeriod, EventKind::Tick, 0);
        return;
    }
}

void CellRun::arrive(RequestId request)
{
    if (request + 1 < m_workload.jobs.size())
        post(m_workload.jobs[request + 1].arrival, EventKind::Arrive, request + 1);
    const Job &job = m_workload.jobs[request];
    const TimePoint limit = m_now + fromSeconds(m_settings.deadlineMs / 1000);
    m_open[request] = {};
    post(limit, EventKind::Deadline, request);
    const Decision decision =
            m_dispatcher.submit(request, { job.order ? 2 : 1, !job.order, limit }, m_now);
    if (const auto *assignment = std::get_if<Assignment>(&decision))
        send(*assignment);
    else if (std::holds_alternative<Shed>(decision))
        recordShed(request);
}

void CellRun::send(const Assignment &assignment)
{
    const std::size_t target = std::stoul(assignment.targetId);
    m_running[assignment.attempt] = { assignment.request, target, m_now };
    m_open[assignment.request].push_back(assignment.attempt);
    post(m_now + m_settings.delay(), EventKind::Reach, assignment.attempt);
    if (m_settings.hedging && !m_workload.jobs[assignment.request].order)
        post(m_now + m_dispatcher.hedgeDelay(), EventKind::Hedge, assignment.request);
}

void CellRun::resolve(const std::vector<Resolution> &resolutions)
{
    for (const Resolution &resolution : resolutions) {
        if (const auto *assignment = std::get_if<Assignment>(&resolution))
            send(*assignment);
        else
            recordShed(std::get<Shed>(resolution).request);
    }
}

void CellRun::reach(AttemptId attempt)
{
    const Running &running = m_running[attempt];
    m_targets[running.target].queue.push_back(attempt);
    startNext(running.target);
}

void CellRun::startNext(std::size_t target)
{
    TargetModel &model = m_targets[target];
    while (model.busy < m_settings.slots && !model.queue.empty()) {
        const AttemptId attempt = model.queue.front();
        model.queue.pop_front();
        Running &running = m_running[attempt];
        running.started = true;
        ++model.busy;
        const double service =
                m_workload.jobs[running.request].serviceSeconds * m_workload.factor(target, m_now);
        post(m_now + fromSeconds(service), EventKind::ServiceEnd, attempt);
    }
}

void CellRun::serviceEnd(AttemptId attempt)
{
    Running &running = m_running[attempt];
    if (!running.ended) {
        running.ended = true;
        --m_targets[running.target].busy;
        startNext(running.target);
        post(m_now + m_settings.delay(), EventKind::Response, attempt);
    }
}

void CellRun::response(AttemptId attempt)
{
    Running &running = m_running[attempt];
    if (running.completed)
        return;
    running.completed = true;
    const TargetModel &model = m_targets[running.target];
    const int inFlight = model.busy + static_cast<int>(model.queue.size());
    const LoadReport load{ inFlight, m_settings.slots, TargetPhase::Warm, 1 };
    resolve(m_dispatcher.complete(attempt, { AttemptOutcome::Answered, m_now - running.sent, load },
                                  m_now));
    recordLatency(running.request, false);
    endAttempts(running.request, AttemptOutcome::Cancelled);
}

void CellRun::hedge(RequestId request)
{
    const auto it = m_open.find(request);
    if (it == m_open.end() || it->second.size() != 1)
        return;
    if (const std::optional<Assignment> second = m_dispatcher.hedge(request, m_now)) {
        ++m_result.hedges;
        send(*second);
    }
}

void CellRun::cancel(AttemptId attempt)
{
    Running &running = m_running[attempt];
    TargetModel &model = m_targets[running.target];
    if (std::exchange(running.ended, true))
        return;
    if (!running.started)
        std::erase(model.queue, attempt);
    else
        --model.busy;
    startNext(running.target);
}

void CellRun::deadline(RequestId request)
{
    if (!m_open.contains(request))
        return;
    recordLatency(request, true);
    endAttempts(request, AttemptOutcome::TimedOut);
}

void CellRun::endAttempts(RequestId request, AttemptOutcome outcome)
{
    for (const AttemptId attempt : m_open[request]) {
        Running &running = m_running[attempt];
        if (running.completed)
            continue;
        running.completed = true;
        post(m_now + m_settings.delay(), EventKind::Cancel, attempt);
        resolve(m_dispatcher.complete(attempt, { outcome, m_now - running.sent, {} }, m_now));
    }
    m_open.erase(request);
    m_dispatcher.finish(request);
}

void CellRun::recordLatency(RequestId request, bool late)
{
    const TimePoint arrival = m_workload.jobs[request].arrival;
    if (arrival < kStart + kWarmUp)
        return;
    m_result.latenciesMs.push_back(toSeconds(m_now - arrival) * 1000);
    m_result.late += late;
}

void CellRun::recordShed(RequestId request)
{
    m_open.erase(request);
    m_dispatcher.finish(request);
    m_result.sheds += m_workload.jobs[request].arrival >= kStart + kWarmUp;
}

} // namespace lycheebay
