#pragma once

#include "base/iclock.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace lycheebay {

/// Prometheus metrics of one gateway process. Thread-safe.
class GatewayMetrics
{
public:
    GatewayMetrics();

    /// Precondition: \a outcome is one of a fixed set of values, which bounds the number of series.
    void countRequest(const std::string &route, const std::string &outcome);
    void observeLatency(const std::string &route, Duration latency);
    void observeQueueTime(Duration wait);
    void countAttempt(const std::string &verdict);
    void countExtraAttempt(bool allowed);
    void countProbe(bool answered);
    /// Counts a request that was forwarded to another instance, by its result.
    void countForward(const std::string &result);
    void countConnectionOpened();
    /// Counts a check whether a target has crashed under a request, by its verdict.
    void countCrashCheck(const std::string &verdict);
    void countAddressAnswer(bool empty);
    void countStoreCall(const std::string &call, const std::string &result);
    /// Counts a return of the platform's store from an older copy.
    void countStoreReturn();
    void setConfigurationVersion(std::uint64_t version);
    void setInstances(std::size_t n);
    void setTargets(std::size_t n);
    void setDroppedLogLines(std::uint64_t n);

    /// Returns all metrics in the Prometheus text exposition format.
    std::string render() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Histogram> &m_latency;
    prometheus::Histogram &m_queueTime;
    prometheus::Family<prometheus::Counter> &m_attempts;
    prometheus::Family<prometheus::Counter> &m_extraAttempts;
    prometheus::Family<prometheus::Counter> &m_probes;
    prometheus::Family<prometheus::Counter> &m_forwards;
    prometheus::Counter &m_connections;
    prometheus::Family<prometheus::Counter> &m_crashChecks;
    prometheus::Family<prometheus::Counter> &m_addressAnswers;
    prometheus::Family<prometheus::Counter> &m_storeCalls;
    prometheus::Counter &m_storeReturns;
    prometheus::Gauge &m_configurationVersion;
    prometheus::Gauge &m_instances;
    prometheus::Gauge &m_targets;
    prometheus::Gauge &m_droppedLogLines;
};

} // namespace lycheebay
