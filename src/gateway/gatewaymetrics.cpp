#include "gateway/gatewaymetrics.h"

#include "base/seconds.h"

#include <prometheus/text_serializer.h>

namespace lycheebay {

namespace {

using namespace prometheus;

const Histogram::BucketBoundaries &latencyBuckets()
{
    // Seconds.
    static const Histogram::BucketBoundaries kBuckets{ 0.005, 0.02, 0.05, 0.1, 0.2,
                                                       0.4,   0.8,  1.6,  3.2, 6.4 };
    return kBuckets;
}

Family<Counter> &counterFamily(Registry &registry, const char *name, const char *help)
{
    return BuildCounter().Name(name).Help(help).Register(registry);
}

Gauge &gauge(Registry &registry, const char *name, const char *help)
{
    return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

GatewayMetrics::GatewayMetrics()
    : m_requests(counterFamily(m_registry, "lycheebay_gateway_requests_total",
                               "Requests of callers by route and outcome."))
    , m_latency(BuildHistogram()
                        .Name("lycheebay_gateway_request_seconds")
                        .Help("Time from a request to its response, by route.")
                        .Register(m_registry))
    , m_queueTime(BuildHistogram()
                          .Name("lycheebay_gateway_queue_seconds")
                          .Help("Time that placed requests waited for a target.")
                          .Register(m_registry)
                          .Add({}, latencyBuckets()))
    , m_attempts(counterFamily(m_registry, "lycheebay_gateway_attempts_total",
                               "Attempts at targets by verdict."))
    , m_extraAttempts(counterFamily(m_registry, "lycheebay_gateway_extra_attempts_total",
                                    "Attempts after the first one, allowed or over budget."))
    , m_probes(counterFamily(m_registry, "lycheebay_gateway_probes_total", "Probes of targets."))
    , m_forwards(counterFamily(m_registry, "lycheebay_gateway_forwards_total",
                               "Requests forwarded to other instances, by result."))
    , m_connections(counterFamily(m_registry, "lycheebay_gateway_target_connections_total",
                                  "Connections opened to targets for requests.")
                            .Add({}))
    , m_crashChecks(counterFamily(m_registry, "lycheebay_gateway_crash_checks_total",
                                  "Lost attempts by whether the target had crashed."))
    , m_addressAnswers(counterFamily(m_registry, "lycheebay_gateway_address_answers_total",
                                     "Address answers to callers."))
    , m_storeCalls(counterFamily(m_registry, "lycheebay_gateway_store_calls_total",
                                 "Calls to the platform's store by call and result."))
    , m_storeReturns(counterFamily(m_registry, "lycheebay_gateway_store_returns_total",
                                   "Returns of the platform's store from an older copy.")
                             .Add({}))
    , m_configurationVersion(gauge(m_registry, "lycheebay_gateway_configuration_version",
                                   "Version of the configuration in force."))
    , m_instances(gauge(m_registry, "lycheebay_gateway_instances", "Live gateway instances known."))
    , m_targets(gauge(m_registry, "lycheebay_gateway_targets", "Targets known."))
    , m_droppedLogLines(gauge(m_registry, "lycheebay_gateway_log_lines_dropped",
                              "Log lines dropped because the reader was slow."))
{}

void GatewayMetrics::countRequest(const std::string &route, const std::string &outcome)
{
    m_requests.Add({ { "route", route }, { "outcome", outcome } }).Increment();
}

void GatewayMetrics::observeLatency(const std::string &route, Duration latency)
{
    m_latency.Add({ { "route", route } }, latencyBuckets()).Observe(toSeconds(latency));
}

void GatewayMetrics::observeQueueTime(Duration wait)
{
    m_queueTime.Observe(toSeconds(wait));
}

void GatewayMetrics::countAttempt(const std::string &verdict)
{
    m_attempts.Add({ { "verdict", verdict } }).Increment();
}

void GatewayMetrics::countExtraAttempt(bool allowed)
{
    m_extraAttempts.Add({ { "result", allowed ? "allowed" : "over_budget" } }).Increment();
}

void GatewayMetrics::countProbe(bool answered)
{
    m_probes.Add({ { "result", answered ? "answered" : "silent" } }).Increment();
}

void GatewayMetrics::countForward(const std::string &result)
{
    m_forwards.Add({ { "result", result } }).Increment();
}

void GatewayMetrics::countConnectionOpened()
{
    m_connections.Increment();
}

void GatewayMetrics::countCrashCheck(const std::string &verdict)
{
    m_crashChecks.Add({ { "verdict", verdict } }).Increment();
}

void GatewayMetrics::countAddressAnswer(bool empty)
{
    m_addressAnswers.Add({ { "result", empty ? "empty" : "addresses" } }).Increment();
}

void GatewayMetrics::countStoreCall(const std::string &call, const std::string &result)
{
    m_storeCalls.Add({ { "call", call }, { "result", result } }).Increment();
}

void GatewayMetrics::countStoreReturn()
{
    m_storeReturns.Increment();
}

void GatewayMetrics::setConfigurationVersion(std::uint64_t version)
{
    m_configurationVersion.Set(static_cast<double>(version));
}

void GatewayMetrics::setInstances(std::size_t n)
{
    m_instances.Set(static_cast<double>(n));
}

void GatewayMetrics::setTargets(std::size_t n)
{
    m_targets.Set(static_cast<double>(n));
}

void GatewayMetrics::setDroppedLogLines(std::uint64_t n)
{
    m_droppedLogLines.Set(static_cast<double>(n));
}

std::string GatewayMetrics::render() const
{
    return TextSerializer().Serialize(m_registry.Collect());
}

} // namespace lycheebay
