#pragma once

#include "routing/celldispatcher.h"
#include "workload.h"

#include <deque>
#include <queue>
#include <unordered_map>

namespace lycheebay {

/// Runs one workload against a CellDispatcher and an event queue of targets.
class CellRun
{
public:
    CellRun(const BenchSettings &settings, const Workload &workload, StrategyKind kind);
    BenchResult run();

private:
    enum class EventKind { Arrive, Reach, ServiceEnd, Response, Cancel, Hedge, Deadline, Tick };

    struct Event
    {
        TimePoint at;
        std::uint64_t sequence = 0;
        EventKind kind = EventKind::Tick;
        std::uint64_t id = 0;

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
        bool completed = false;
        bool started = false;
        bool ended = false;
    };

    struct TargetModel
    {
        std::deque<AttemptId> queue;
        int busy = 0;
    };

    void post(TimePoint at, EventKind kind, std::uint64_t id);
    void handle(const Event &event);
    void arrive(RequestId request);
    void send(const Assignment &assignment);
    void resolve(const std::vector<Resolution> &resolutions);
    void reach(AttemptId attempt);
    void startNext(std::size_t target);
    void serviceEnd(AttemptId attempt);
    void response(AttemptId attempt);
    void hedge(RequestId request);
    void cancel(AttemptId attempt);
    void deadline(RequestId request);
    void endAttempts(RequestId request, AttemptOutcome outcome);
    void recordLatency(RequestId request, bool late);
    void recordShed(RequestId request);

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
