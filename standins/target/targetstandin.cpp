#include "standins/target/targetstandin.h"

#include "base/hash.h"
#include "standins/target/targetcosts.h"

#include <fmt/format.h>

#include <charconv>
#include <cmath>

namespace lycheebay::standins {

using nlohmann::json;
using std::chrono::steady_clock;

namespace {

/// Time after which a draining target must get no new work.
constexpr std::chrono::seconds kDrainGrace(3);
constexpr std::chrono::seconds kMaxHang(60);
constexpr std::chrono::milliseconds kHangCheckInterval(20);
constexpr double kColdOverloadFactor = 10;

steady_clock::duration milliseconds(double count)
{
    return std::chrono::microseconds(std::llround(count * 1000));
}

bool parseCount(const std::string &text, std::int64_t &value)
{
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end && value >= 0;
}

bool isFlag(const json &body, const char *name)
{
    return body.contains(name) && body[name] == true;
}

} // namespace

TargetStandin::TargetStandin(asio::io_context &context, TargetSpec spec,
                             const TargetOptions &options, RunRecord &runRecord)
    : m_context(context)
    , m_spec(std::move(spec))
    , m_options(options)
    , m_runRecord(runRecord)
    , m_http(context, [this](const HttpConnectionPtr &connection,
                             HttpRequest request) { handle(connection, std::move(request)); })
    , m_random(hash64(m_spec.id, options.seed))
    , m_coldLimit(m_spec.coldLimit)
{
    m_http.setConnectionHandler([this](std::size_t open) { return acceptConnection(open); });
}

absl::Status TargetStandin::control(const json &body)
{
    absl::Status status = checkControl(body);
    if (!status.ok())
        return status;
    setFaults(body, m_faults);
    if (body.contains("slowFactor")) {
        const bool isUnlimited = m_faults.slowForMs <= 0;
        m_slowUntil =
                isUnlimited ? Time::max() : steady_clock::now() + milliseconds(m_faults.slowForMs);
    }
    m_crashMarker = body.value("crashOnMarker", m_crashMarker);
    applyPhase(body);
    return absl::OkStatus();
}

void TargetStandin::applyPhase(const json &body)
{
    const Time now = steady_clock::now();
    if (body.contains("cold")) {
        const int limit = body["cold"].get<int>();
        const double durationMs = body.value("coldForMs", m_options.coldForMs);
        m_coldLimit = limit > 0 ? limit : m_spec.coldLimit;
        m_coldUntil = limit <= 0        ? Time()
                      : durationMs <= 0 ? Time::max()
                                        : now + milliseconds(durationMs);
    }
    if (body.contains("draining"))
        m_drainingSince = isFlag(body, "draining") ? now : Time::max();
    if (body.contains("noWorkAfterMs")) {
        const double delayMs = body["noWorkAfterMs"].get<double>();
        m_noWorkAfter = delayMs < 0 ? Time::max() : now + milliseconds(delayMs);
    }
    if (body.contains("stopped") && isFlag(body, "stopped") != m_isStopped) {
        if (m_isStopped)
            restart();
        else
            stop();
    }
    if (isFlag(body, "crash") && !m_isStopped)
        crash();
}

bool TargetStandin::acceptConnection(std::size_t openConnections)
{
    if (openConnections >= static_cast<std::size_t>(m_spec.maxConnections)) {
        ++m_counts.connectionsRefused;
        return false;
    }
    ++m_counts.connections;
    Job job;
    job.cost = kConnectionCost;
    enqueue(std::move(job));
    return true;
}

void TargetStandin::handle(const HttpConnectionPtr &connection, HttpRequest request)
{
    Job job;
    job.connection = connection;
    if (request.path == "/load") {
        ++m_counts.loadQueries;
        const json body = { { "inflight", reportedInFlight() },
                            { "slots", m_spec.slots },
                            { "phase", phaseName() },
                            { "start", m_start } };
        connection->respond(withLoad(jsonResponse(body)));
        return;
    }
    if (request.path == "/health") {
        ++m_counts.probes;
        job.cost = kProbeCost;
        enqueue(std::move(job));
        return;
    }
    ++m_counts.requests;
    if (m_faults.shed != 0 || m_queue.size() >= m_options.queueBound) {
        respondNotRun(connection, "shed");
        return;
    }
    std::int64_t remainingMs = 0;
    if (parseCount(request.header("lycheebay-deadline-ms"), remainingMs))
        job.deadline = steady_clock::now()
                       + std::min<steady_clock::duration>(std::chrono::milliseconds(remainingMs),
                                                          std::chrono::hours(1));
    job.request = std::move(request);
    job.isRequest = true;
    enqueue(std::move(job));
}

void TargetStandin::enqueue(Job job)
{
    m_queue.push_back(std::move(job));
    startNext();
}

void TargetStandin::startNext()
{
    while (m_busySlots < m_spec.slots && !m_queue.empty()) {
        Job job = std::move(m_queue.front());
        m_queue.pop_front();
        if (mayStart(job))
            startJob(std::move(job));
    }
}

bool TargetStandin::mayStart(const Job &job)
{
    if (!job.isRequest)
        return true;
    if (!job.connection->isOpen()) {
        ++m_counts.cancelled;
        return false;
    }
    if (job.deadline <= steady_clock::now()) {
        respondNotRun(job.connection, "deadline passed");
        return false;
    }
    return true;
}

void TargetStandin::startJob(Job job)
{
    if (job.isRequest) {
        runRequest(std::move(job));
        return;
    }
    occupySlot(job.cost, [this, connection = job.connection] {
        if (connection)
            connection->respond(withLoad(jsonResponse({ { "status", phaseName() } })));
    });
}

void TargetStandin::runRequest(Job job)
{
    ++m_counts.started;
    m_runRecord.add(job.request.header("idempotency-key"), job.request.header("x-request-id"),
                    m_spec.id, m_spec.failureDomain);
    checkRules();
    const bool isMarked =
            !m_crashMarker.empty()
            && (job.request.path + job.request.body).find(m_crashMarker) != std::string::npos;
    if (isMarked) {
        crash();
        return;
    }
    if (m_faults.failFast != 0) {
        job.connection->respond(withLoad(errorResponse(500, "failed")));
        return;
    }
    ++m_runningRequests;
    m_counts.peakInFlight = std::max(m_counts.peakInFlight, m_runningRequests);
    if (oneIn(m_faults.hangShare)) {
        ++m_busySlots;
        waitHanging(job.connection);
        return;
    }
    const Duration duration = serviceTime(job.request);
    occupySlot(duration, [this, job = std::move(job)] { finishRequest(job); });
}

void TargetStandin::checkRules()
{
    const Time now = steady_clock::now();
    if (isCold()) {
        const int running = m_runningRequests + 1;
        m_counts.peakInFlightCold = std::max(m_counts.peakInFlightCold, running);
        m_counts.coldOverload += running > m_coldLimit ? 1 : 0;
    }
    if (m_drainingSince != Time::max() && now > m_drainingSince + kDrainGrace)
        ++m_counts.startAfterDraining;
    if (now > m_noWorkAfter)
        ++m_counts.startAfterForbidden;
}

void TargetStandin::occupySlot(Duration duration, std::function<void()> onDone)
{
    ++m_busySlots;
    after(duration, [this, onDone = std::move(onDone)] {
        --m_busySlots;
        onDone();
        startNext();
    });
}

void TargetStandin::finishRequest(const Job &job)
{
    --m_runningRequests;
    json body = { { "id", job.request.header("x-request-id") },
                  { "sum", fmt::format("{:016x}", hash64(job.request.body)) },
                  { "target", m_spec.id } };
    HttpResponse response = withLoad(jsonResponse(body));
    if (oneIn(m_faults.halfAnswerShare)) {
        response.announcedLength = response.body.size();
        response.body.resize(response.body.size() / 2);
        response.closeAfter = true;
    }
    if (m_faults.lateAnswerMs <= 0) {
        job.connection->respond(std::move(response));
        return;
    }
    after(milliseconds(m_faults.lateAnswerMs),
          [connection = job.connection, response = std::move(response)] {
              connection->respond(response);
          });
}

void TargetStandin::waitHanging(const HttpConnectionPtr &connection)
{
    const Time end = steady_clock::now() + kMaxHang;
    auto check = std::make_shared<std::function<void()>>();
    *check = [this, connection, end, weakCheck = std::weak_ptr(check)] {
        const auto self = weakCheck.lock();
        if (connection->isOpen() && steady_clock::now() < end && self) {
            after(kHangCheckInterval, [self] { (*self)(); });
            return;
        }
        connection->close();
        --m_busySlots;
        --m_runningRequests;
        startNext();
    };
    after(kHangCheckInterval, [check] { (*check)(); });
}

void TargetStandin::stop()
{
    m_isStopped = true;
    ++m_start;
    m_queue.clear();
    m_busySlots = 0;
    m_runningRequests = 0;
    m_http.stop();
}

void TargetStandin::restart()
{
    m_isStopped = false;
    m_drainingSince = Time::max();
    m_coldUntil = steady_clock::now() + milliseconds(m_options.coldForMs);
    const absl::Status status = m_http.listen(m_spec.address);
    if (!status.ok()) {
        // The port may still be held for a moment by a connection that is closing.
        m_isStopped = true;
        after(kHangCheckInterval, [this] { restart(); });
    }
}

void TargetStandin::crash()
{
    ++m_counts.crashes;
    stop();
    after(milliseconds(m_faults.crashForMs), [this] {
        if (m_isStopped)
            restart();
    });
}

void TargetStandin::after(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([this, timer, start = m_start, action = std::move(action)](asio::error_code) {
        if (start == m_start)
            action();
    });
}

HttpResponse TargetStandin::withLoad(HttpResponse response)
{
    response.headers.emplace_back(
            "Lycheebay-Load", fmt::format("inflight={};slots={};phase={};start={}",
                                          reportedInFlight(), m_spec.slots, phaseName(), m_start));
    return response;
}

HttpResponse TargetStandin::notRun(const std::string &reason)
{
    HttpResponse response = withLoad(errorResponse(503, reason));
    response.headers.emplace_back("Lycheebay-Not-Run", "1");
    return response;
}

void TargetStandin::respondNotRun(const HttpConnectionPtr &connection, const std::string &reason)
{
    ++m_counts.notRun;
    connection->respond(notRun(reason));
}

int TargetStandin::reportedInFlight()
{
    if (m_faults.loadLie >= 0)
        return static_cast<int>(m_faults.loadLie);
    const Time now = steady_clock::now();
    if (now - m_loadSampledAt >= milliseconds(m_faults.loadLagMs)) {
        m_loadSampledAt = now;
        const auto isRequest = [](const Job &job) { return job.isRequest; };
        m_sampledLoad =
                m_runningRequests
                + static_cast<int>(std::count_if(m_queue.begin(), m_queue.end(), isRequest));
    }
    return m_sampledLoad;
}

const char *TargetStandin::phaseName() const
{
    if (m_drainingSince != Time::max())
        return "draining";
    return isCold() ? "cold" : "warm";
}

TargetStandin::Duration TargetStandin::serviceTime(const HttpRequest &request)
{
    double timeMs = 0;
    std::int64_t requestedUs = 0;
    if (parseCount(request.header("x-service-time-us"), requestedUs)) {
        timeMs = static_cast<double>(requestedUs) / 1000;
    } else if (m_options.distribution == Distribution::Exponential) {
        timeMs = std::exponential_distribution<double>(1 / m_options.serviceMs)(m_random);
    } else {
        // Chosen so that the mean of the distribution is serviceMs.
        const double mu = std::log(m_options.serviceMs) - m_options.sigma * m_options.sigma / 2;
        timeMs = std::lognormal_distribution<double>(mu, m_options.sigma)(m_random);
    }
    if (m_faults.slowFactor > 0 && steady_clock::now() < m_slowUntil)
        timeMs *= m_faults.slowFactor;
    if (isCold() && m_runningRequests > m_coldLimit)
        timeMs *= kColdOverloadFactor;
    return milliseconds(timeMs);
}

bool TargetStandin::oneIn(double share)
{
    return share >= 1 && m_random() % static_cast<std::uint64_t>(share) == 0;
}

bool TargetStandin::isCold() const
{
    return steady_clock::now() < m_coldUntil;
}

json TargetStandin::report() const
{
    json report = toJson(m_counts, m_spec.slots);
    report["service"] = m_spec.service;
    report["failureDomain"] = m_spec.failureDomain;
    report["phase"] = phaseName();
    report["start"] = m_start;
    report["stopped"] = m_isStopped;
    return report;
}

void TargetStandin::resetReport()
{
    m_counts = TargetCounts();
}

} // namespace lycheebay::standins
