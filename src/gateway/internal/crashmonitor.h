#pragma once

#include "base/stringmap.h"
#include "gateway/gatewayblackboard.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/internal/decisionlog.h"
#include "gateway/internal/targetconnections.h"
#include "gateway/itargetprotocol.h"
#include "outcomes/crashsuspects.h"

namespace lycheebay {

/// Returns the fingerprint by which repeats of a caller's request are recognized, on every instance
/// alike. Thread-safe.
Fingerprint fingerprintOf(const HttpRequest &request);

/// A request that was sent to a target.
struct SentRequest
{
    Fingerprint fingerprint = 0;
    TimePoint sentAt;
    /// Regions that may learn of the request; empty means all.
    std::vector<std::string> homeRegions;

    auto operator<=>(const SentRequest &) const = default;
};

/// Recognizes requests that crash the targets which run them, and shares them with the other
/// instances of the region. A lost connection alone is no crash, since some targets reset
/// connections when they are full: the target must then refuse connections or end each one without
/// a response, or another incarnation must answer at its address, or it must be silent while others
/// of its failure domain answer. Not thread-safe: use it on the
/// event loop.
class CrashMonitor final
{
public:
    /// Precondition: the references outlive the monitor.
    CrashMonitor(asio::io_context &context, ITimerService &timers, const IClock &clock,
                 const ITargetProtocol &protocol, GatewayBlackboard &blackboard,
                 GatewayMetrics &metrics, DecisionLog &log);
    ~CrashMonitor();
    CrashMonitor(const CrashMonitor &) = delete;
    CrashMonitor &operator=(const CrashMonitor &) = delete;

    /// Decides whether a request may run. Call release() after a run that is admitted as Exclusive.
    Admission admit(Fingerprint fingerprint);
    void release(Fingerprint fingerprint) { m_suspects.release(fingerprint); }
    /// Time for which the request is refused; zero if it is not.
    Duration refusedFor(Fingerprint fingerprint) const;
    /// True if the request must not be sent to a target now: it is refused, or the verdict on two
    /// lost attempts is outstanding.
    bool isRefused(Fingerprint fingerprint) const;
    /// True while a target that lost an attempt of the request is being checked.
    bool isUndecided(Fingerprint fingerprint) const { return undecidedLosses(fingerprint) > 0; }
    /// Calls \a done when isUndecided() has become false. Precondition: it is true.
    void whenDecided(Fingerprint fingerprint, std::function<void()> done);
    /// True if the request is suspected of a crash and must not be retried.
    bool isSuspected(Fingerprint fingerprint);
    /// Reports that a target of the failure domain has answered.
    void recordAnswer(const std::string &failureDomain);
    /// Reports that a target ran the request to its end.
    void recordResponse(Fingerprint fingerprint);
    /// Reports that the connection of an attempt was lost before the end of the response, or that
    /// the target was silent for very long. Checks shortly afterwards, by \a healthPath, whether
    /// the target has crashed.
    void recordLostAttempt(const SentRequest &request,
                           const IntrusivePtr<TargetConnections> &target,
                           const std::string &healthPath);

private:
    struct TargetCheck;
    enum class Verdict { Alive, Crashed, Silent };

    int undecidedLosses(Fingerprint fingerprint) const;
    /// Verdict on a target that has answered none of the connections of its check.
    Verdict verdictOnSilence(const TargetCheck &check) const;
    /// Reports to the other instances.
    void publish(const SharedSuspect &suspect);

    void scheduleCheck(const IntrusivePtr<TargetCheck> &check);
    void checkTarget(const IntrusivePtr<TargetCheck> &check);
    void endCheck(const IntrusivePtr<TargetCheck> &check, Verdict verdict);
    void checkEnded(const IntrusivePtr<TargetCheck> &check, TransferResult result,
                    const HttpResponse &response);
    void releaseWaiting(Fingerprint fingerprint);
    void recordCrash(const SentRequest &request, TimePoint lostAt, const std::string &targetId);
    void adoptReport(const InstanceReport &report);
    void write(LogFields &fields, Fingerprint fingerprint);

    asio::io_context &m_context;
    ITimerService &m_timers;
    const IClock &m_clock;
    const ITargetProtocol &m_protocol;
    GatewayBlackboard &m_blackboard;
    GatewayMetrics &m_metrics;
    DecisionLog &m_log;
    CrashSuspects m_suspects;
    std::vector<IntrusivePtr<TargetCheck>> m_checks;
    /// When a target of each failure domain answered last.
    StringMap<TimePoint> m_lastAnswers;
    /// Callbacks of whenDecided().
    std::vector<std::pair<Fingerprint, std::function<void()>>> m_waiting;
};

} // namespace lycheebay
