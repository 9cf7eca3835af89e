#pragma once

#include "standins/common/controlapi.h"
#include "standins/target/runrecord.h"
#include "standins/target/targetcounts.h"
#include "standins/target/targetfaults.h"
#include "standins/target/targetspec.h"

#include <chrono>
#include <deque>
#include <random>

namespace lycheebay::standins {

enum class Distribution { Exponential, LogNormal };

/// What all targets of the process share.
struct TargetOptions
{
    Distribution distribution = Distribution::LogNormal;
    double serviceMs = 5;
    /// Shape of the log-normal distribution.
    double sigma = 0.5;
    /// Requests that wait in one target before it sheds.
    std::size_t queueBound = 50;
    double coldForMs = 3000;
    std::uint64_t seed = 1;
};

/// One target. Used only on the thread that runs the io_context.
class TargetStandin
{
public:
    TargetStandin(asio::io_context &context, TargetSpec spec, const TargetOptions &options,
                  RunRecord &runRecord);

    absl::Status start() { return m_http.listen(m_spec.address); }
    /// Applies a control request. Errors: InvalidArgument, and nothing is changed.
    absl::Status control(const nlohmann::json &body);
    nlohmann::json report() const;
    void resetReport();
    const TargetSpec &spec() const { return m_spec; }

private:
    using Time = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::steady_clock::duration;

    /// Work that occupies a slot: a request, or without a connection the cost of a new one.
    struct Job
    {
        HttpConnectionPtr connection;
        HttpRequest request;
        Time deadline = Time::max();
        Duration cost{};
        bool isRequest = false;
    };

    void applyPhase(const nlohmann::json &body);
    bool acceptConnection(std::size_t openConnections);
    void handle(const HttpConnectionPtr &connection, HttpRequest request);
    void enqueue(Job job);
    void startNext();
    bool mayStart(const Job &job);
    void startJob(Job job);
    void runRequest(Job job);
    void checkRules();
    void occupySlot(Duration duration, std::function<void()> onDone);
    void finishRequest(const Job &job);
    void waitHanging(const HttpConnectionPtr &connection);
    void stop();
    void restart();
    void crash();
    void after(Duration delay, std::function<void()> action);

    HttpResponse withLoad(HttpResponse response);
    HttpResponse notRun(const std::string &reason);
    void respondNotRun(const HttpConnectionPtr &connection, const std::string &reason);
    int reportedInFlight();
    const char *phaseName() const;
    Duration serviceTime(const HttpRequest &request);
    bool oneIn(double share);
    bool isCold() const;

    asio::io_context &m_context;
    TargetSpec m_spec;
    const TargetOptions &m_options;
    RunRecord &m_runRecord;
    HttpServer m_http;
    TargetFaults m_faults;
    std::string m_crashMarker;
    TargetCounts m_counts;
    std::mt19937_64 m_random;
    std::deque<Job> m_queue;
    /// Slots in use, by requests and by the cost of probes and connections.
    int m_busySlots = 0;
    int m_runningRequests = 0;
    /// Changes when the simulated process ends, so that its timers have no effect.
    std::uint64_t m_start = 1;
    bool m_isStopped = false;
    int m_coldLimit;
    Time m_coldUntil;
    Time m_slowUntil;
    Time m_drainingSince = Time::max();
    Time m_noWorkAfter = Time::max();
    Time m_loadSampledAt;
    int m_sampledLoad = 0;
};

} // namespace lycheebay::standins
