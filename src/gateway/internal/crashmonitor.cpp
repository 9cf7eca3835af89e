#include "gateway/internal/crashmonitor.h"

#include "http/httpserialization.h"
#include "outcomes/outcometable.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A process that is ending may still accept connections for a moment.
constexpr Duration kCheckDelay = milliseconds(150);
// A response that the target sent before its crash may be read shortly after it.
constexpr Duration kAnswerMargin = milliseconds(20);
constexpr int kMaxCheckConnections = 4;
constexpr std::size_t kMaxConcurrentChecks = 64;
constexpr ClientConnectionOptions kCheckTimeouts{ milliseconds(250), milliseconds(250), {} };
// Two lost attempts in a row are rarely a coincidence: the request is not sent before the verdict.
constexpr int kMaxUndecidedLosses = 2;
// Covers the longest check.
constexpr Duration kUndecidedRefusal = seconds(2);
// A refusal that is wrong, because targets failed by chance, must not last long.
constexpr SuspectLimits kLimits{ 10'000, seconds(60), seconds(10), seconds(60) };

} // namespace

Fingerprint fingerprintOf(const HttpRequest &request)
{
    const std::string *host = findHeader(request.headers, "Host");
    return identifyRequest(request, host ? *host : std::string()).low;
}

/// The check of a target that lost attempts.
struct CrashMonitor::TargetCheck final : RefCounted
{
    /// The requests that were lost, and when.
    std::vector<std::pair<SentRequest, TimePoint>> lost;
    /// When the last one was lost.
    TimePoint lostAt;
    IntrusivePtr<TargetConnections> target;
    std::string healthPath;
    IntrusivePtr<HttpClientConnection> connection;
    TimerSubscription timer;
    int connections = 0;
    /// Connections that the target ended without a response.
    int lostConnections = 0;
};

CrashMonitor::CrashMonitor(asio::io_context &context, ITimerService &timers, const IClock &clock,
                           const ITargetProtocol &protocol, GatewayBlackboard &blackboard,
                           GatewayMetrics &metrics, DecisionLog &log)
    : m_context(context)
    , m_timers(timers)
    , m_clock(clock)
    , m_protocol(protocol)
    , m_blackboard(blackboard)
    , m_metrics(metrics)
    , m_log(log)
    , m_suspects(kLimits)
{
    m_blackboard.peerReports.subscribe(
            [this](const IntrusivePtr<const InstanceReport> &it) { adoptReport(*it); });
}

CrashMonitor::~CrashMonitor()
{
    for (const IntrusivePtr<TargetCheck> &it : m_checks) {
        it->timer.reset();
        if (it->connection)
            it->connection->close();
    }
}

void CrashMonitor::write(LogFields &fields, Fingerprint fingerprint)
{
    fields.add("fingerprint", fmt::format("{:016x}", fingerprint));
    m_log.write(fields);
}

void CrashMonitor::adoptReport(const InstanceReport &report)
{
    for (const SharedSuspect &it : report.crashSuspects) {
        const bool isNew = !isSuspected(it.fingerprint);
        m_suspects.mergeFromPeer(it, m_clock.now());
        if (!isNew)
            continue;
        LogFields fields("suspect_received");
        fields.add("crashes", it.crashCount).addMs("remaining_ms", it.remaining);
        write(fields, it.fingerprint);
    }
}

int CrashMonitor::undecidedLosses(Fingerprint fingerprint) const
{
    // Such losses are not counted.
    if (m_suspects.hasRespondedLately(fingerprint, m_clock.now()))
        return 0;
    std::ptrdiff_t n = 0;
    for (const IntrusivePtr<TargetCheck> &it : m_checks) {
        n += std::count_if(it->lost.begin(), it->lost.end(), [&](const auto &entry) {
            return entry.first.fingerprint == fingerprint;
        });
    }
    return static_cast<int>(n);
}

bool CrashMonitor::isRefused(Fingerprint fingerprint) const
{
    return refusedFor(fingerprint) > Duration::zero()
           || undecidedLosses(fingerprint) >= kMaxUndecidedLosses;
}

void CrashMonitor::whenDecided(Fingerprint fingerprint, std::function<void()> done)
{
    m_waiting.emplace_back(fingerprint, std::move(done));
}

Admission CrashMonitor::admit(Fingerprint fingerprint)
{
    if (isRefused(fingerprint))
        return Admission::Refused;
    return m_suspects.admit(fingerprint, m_clock.now());
}

Duration CrashMonitor::refusedFor(Fingerprint fingerprint) const
{
    return m_suspects.refusedFor(fingerprint, m_clock.now());
}

bool CrashMonitor::isSuspected(Fingerprint fingerprint)
{
    return m_suspects.isSuspected(fingerprint, m_clock.now());
}

void CrashMonitor::recordAnswer(const std::string &failureDomain)
{
    m_lastAnswers[failureDomain] = m_clock.now();
}

void CrashMonitor::recordResponse(Fingerprint fingerprint)
{
    if (isSuspected(fingerprint)) {
        LogFields fields("suspicion_cleared");
        write(fields, fingerprint);
    }
    m_suspects.recordResponse(fingerprint, m_clock.now());
}

void CrashMonitor::recordLostAttempt(const SentRequest &request,
                                     const IntrusivePtr<TargetConnections> &target,
                                     const std::string &healthPath)
{
    const TimePoint now = m_clock.now();
    if (m_suspects.hasRespondedLately(request.fingerprint, now))
        return;
    // A target that crashes loses all of its attempts at once; one check serves them.
    auto known = std::find_if(m_checks.begin(), m_checks.end(), [&](const auto &it) {
        return it->target == target && it->connections == 0;
    });
    if (known == m_checks.end()) {
        // Very many targets are lost together only when a failure domain fails.
        if (m_checks.size() >= kMaxConcurrentChecks) {
            m_metrics.countCrashCheck("skipped");
            return;
        }
        auto check = makeRef<TargetCheck>();
        check->target = target;
        check->healthPath = healthPath;
        known = m_checks.insert(m_checks.end(), check);
        scheduleCheck(check);
    }
    (*known)->lost.emplace_back(request, now);
    (*known)->lostAt = now;
    // The others wait for the verdict too. If this instance ends before it, they go on with care.
    if (undecidedLosses(request.fingerprint) == kMaxUndecidedLosses)
        publish({ request.fingerprint, kMaxUndecidedLosses, kUndecidedRefusal,
                  request.homeRegions });
}

void CrashMonitor::scheduleCheck(const IntrusivePtr<TargetCheck> &check)
{
    // The copy outlives the timer, which is replaced during the call.
    check->timer = m_timers.after(kCheckDelay,
                                  [this, check] { checkTarget(IntrusivePtr<TargetCheck>(check)); });
}

void CrashMonitor::checkTarget(const IntrusivePtr<TargetCheck> &check)
{
    const bool hasAnswered = check->target->lastAnswerAt() > check->lostAt + kAnswerMargin;
    if (hasAnswered || check->connections == kMaxCheckConnections) {
        endCheck(check, hasAnswered ? Verdict::Alive : verdictOnSilence(*check));
        return;
    }
    ++check->connections;
    const TargetRecord &target = check->target->record();
    check->connection = makeRef<HttpClientConnection>(m_context, m_timers, m_clock, target.address,
                                                      kCheckTimeouts);
    check->timer = m_timers.after(kCheckTimeouts.connect, [this, check] {
        check->connection->close();
        scheduleCheck(IntrusivePtr<TargetCheck>(check));
    });
    const HttpRequest request{
        "GET", check->healthPath, { { "Host", target.address.toString() } }, {}
    };
    check->connection->send(serializeRequest(request), false, nullptr,
                            [this, check](TransferResult result, const HttpResponse &response) {
                                checkEnded(IntrusivePtr<TargetCheck>(check), result, response);
                            });
}

CrashMonitor::Verdict CrashMonitor::verdictOnSilence(const TargetCheck &check) const
{
    if (check.lostConnections == kMaxCheckConnections)
        return Verdict::Crashed;
    // If the whole failure domain is silent, the path to it may be cut.
    const auto last = m_lastAnswers.find(check.target->record().failureDomain);
    const bool othersAnswer =
            last != m_lastAnswers.end() && last->second > check.lostAt + kAnswerMargin;
    return othersAnswer ? Verdict::Crashed : Verdict::Silent;
}

void CrashMonitor::endCheck(const IntrusivePtr<TargetCheck> &check, Verdict verdict)
{
    constexpr std::array kNames{ "alive", "crashed", "silent" };
    const char *name = kNames.at(static_cast<std::size_t>(verdict));
    check->timer.reset();
    std::erase(m_checks, check);
    m_metrics.countCrashCheck(name);
    const std::string &target = check->target->record().id;
    for (const auto &[request, lostAt] : check->lost) {
        LogFields fields("crash_check_ended");
        fields.add("target", target).add("verdict", name);
        fields.addMs("after_ms", m_clock.now() - lostAt);
        write(fields, request.fingerprint);
        if (verdict == Verdict::Crashed)
            recordCrash(request, lostAt, target);
    }
    for (const auto &[request, lostAt] : check->lost) {
        if (!isUndecided(request.fingerprint))
            releaseWaiting(request.fingerprint);
    }
}

void CrashMonitor::releaseWaiting(Fingerprint fingerprint)
{
    const auto first =
            std::stable_partition(m_waiting.begin(), m_waiting.end(),
                                  [&](const auto &it) { return it.first != fingerprint; });
    const std::vector decided(std::make_move_iterator(first),
                              std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(first, m_waiting.end());
    for (const auto &[decidedFor, done] : decided)
        done();
}

void CrashMonitor::checkEnded(const IntrusivePtr<TargetCheck> &check, TransferResult result,
                              const HttpResponse &response)
{
    const bool refused = check->connection->isRefused();
    check->connection->close();
    bool hasCrashed = refused;
    if (result == TransferResult::Answered) {
        const std::string id = m_protocol.readResponseMetadata(response).targetId;
        hasCrashed = !id.empty() && id != check->target->record().id;
    } else if (!refused) {
        check->lostConnections += result == TransferResult::Lost ? 1 : 0;
        scheduleCheck(check);
        return;
    }
    endCheck(check, hasCrashed ? Verdict::Crashed : Verdict::Alive);
}

void CrashMonitor::recordCrash(const SentRequest &request, TimePoint lostAt,
                               const std::string &targetId)
{
    const SharedSuspect suspect = m_suspects.recordCrash(request.fingerprint, request.homeRegions,
                                                         { request.sentAt, lostAt }, m_clock.now());
    if (suspect.crashCount == 0)
        return;
    LogFields fields("crash_suspected");
    fields.add("target", targetId).add("crashes", suspect.crashCount);
    write(fields, request.fingerprint);
    publish(suspect);
}

void CrashMonitor::publish(const SharedSuspect &suspect)
{
    auto report = makeRef<InstanceReport>();
    report->crashSuspects = { suspect };
    m_blackboard.reports.publish(IntrusivePtr<const InstanceReport>(report));
}

} // namespace lycheebay
