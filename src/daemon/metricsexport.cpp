#include "daemon/metricsexport.h"

#include "base/seconds.h"
#include "entry/celldirectory.h"
#include "entry/entrycounters.h"
#include "transport/httpserver.h"
#include "transport/peertraffic.h"

#include <prometheus/text_serializer.h>

#include <array>

namespace lycheebay {

namespace {

struct EntryCounterSpec
{
    const char *name;
    const char *help;
    EntryCounters::Count EntryCounters::*count;
};

using E = EntryCounters;

constexpr std::array kEntryCounters{
    EntryCounterSpec{ "lycheebay_requests_total", "Requests of callers.", &E::requests },
    EntryCounterSpec{ "lycheebay_address_answers_total", "Address answers.", &E::addressAnswers },
    EntryCounterSpec{ "lycheebay_home_region_refusals_total",
                      "Requests refused because this region is not among their home regions.",
                      &E::homeRegionRefusals },
    EntryCounterSpec{ "lycheebay_unattested_refusals_total",
                      "Requests refused because the configuration was not attested.",
                      &E::unattestedRefusals },
    EntryCounterSpec{ "lycheebay_replayed_total", "Stored responses returned again.",
                      &E::replayed },
    EntryCounterSpec{ "lycheebay_key_conflicts_total", "Keys used with another request.",
                      &E::keyConflicts },
    EntryCounterSpec{ "lycheebay_key_table_full_total", "Requests refused for want of room.",
                      &E::keyTableFull },
    EntryCounterSpec{ "lycheebay_crash_suspects_refused_total",
                      "Requests refused because they crashed targets.", &E::suspectsRefused },
    EntryCounterSpec{ "lycheebay_crash_strikes_total",
                      "Connections lost before any byte of a response.", &E::crashStrikes },
    EntryCounterSpec{ "lycheebay_attempts_total", "Attempts at targets.", &E::attempts },
    EntryCounterSpec{ "lycheebay_retries_total", "Attempts after a failed one.", &E::retries },
    EntryCounterSpec{ "lycheebay_hedges_total", "Second attempts beside a slow one.", &E::hedges },
    EntryCounterSpec{ "lycheebay_hedges_won_total", "Hedges that answered first.", &E::hedgesWon },
    EntryCounterSpec{ "lycheebay_forwarded_total", "Requests passed to another entry instance.",
                      &E::forwarded },
    EntryCounterSpec{ "lycheebay_fallbacks_total",
                      "Requests served here because the dispatcher could not be reached.",
                      &E::fallbacks },
    EntryCounterSpec{ "lycheebay_spilled_total", "Requests passed to another region.",
                      &E::spilled },
    EntryCounterSpec{ "lycheebay_spilled_bytes_total",
                      "Bytes passed to other regions for requests.", &E::spilledBytes },
    EntryCounterSpec{ "lycheebay_spills_over_budget_total",
                      "Requests not passed to another region for want of budget.",
                      &E::spillsOverBudget },
    EntryCounterSpec{ "lycheebay_callers_gone_total", "Callers that left before their response.",
                      &E::callersGone },
};

void addTargetMetrics(MetricsBuilder &builder, const std::string &service,
                      const TargetStatus &target)
{
    const std::vector<prometheus::ClientMetric::Label> labels{ { "service", service },
                                                               { "target", target.id } };
    builder.gauge("lycheebay_target_limit", "Requests that the target may run at the same time.",
                  target.limit, labels);
    builder.gauge("lycheebay_target_outstanding", "Requests in flight at the target.",
                  target.outstanding, labels);
    builder.gauge("lycheebay_target_ejected", "1 while the target is ejected.", target.ejected,
                  labels);
    builder.gauge("lycheebay_target_cold", "1 while the target is in cold start.", target.cold,
                  labels);
    builder.gauge("lycheebay_target_accepts_work", "1 while the target may get new work.",
                  target.acceptsWork && !target.draining, labels);
    builder.gauge("lycheebay_target_latency_seconds", "Recent latency of the target.",
                  toSeconds(target.recentLatency), labels);
}

} // namespace

prometheus::MetricFamily &MetricsBuilder::family(const std::string &name, const std::string &help,
                                                 prometheus::MetricType type)
{
    for (prometheus::MetricFamily &known : m_families) {
        if (known.name == name)
            return known;
    }
    m_families.push_back({ name, help, type, {} });
    return m_families.back();
}

void MetricsBuilder::counter(const std::string &name, const std::string &help, double value,
                             const std::string &label, const std::string &labelValue)
{
    prometheus::ClientMetric metric;
    if (!label.empty())
        metric.label.push_back({ label, labelValue });
    metric.counter.value = value;
    family(name, help, prometheus::MetricType::Counter).metric.push_back(metric);
}

void MetricsBuilder::gauge(const std::string &name, const std::string &help, double value,
                           const std::vector<prometheus::ClientMetric::Label> &labels)
{
    prometheus::ClientMetric metric;
    metric.label = labels;
    metric.gauge.value = value;
    family(name, help, prometheus::MetricType::Gauge).metric.push_back(metric);
}

void MetricsBuilder::histogram(const std::string &name, const std::string &help,
                               const DurationHistogram &histogram)
{
    prometheus::ClientMetric metric;
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < DurationHistogram::kBucketCount; ++i) {
        cumulative += histogram.count(i);
        const bool last = i + 1 == DurationHistogram::kBucketCount;
        const double bound = last ? std::numeric_limits<double>::infinity()
                                  : toSeconds(DurationHistogram::upperBound(i));
        metric.histogram.bucket.push_back({ cumulative, bound });
    }
    metric.histogram.sample_count = cumulative;
    metric.histogram.sample_sum = toSeconds(histogram.sum());
    family(name, help, prometheus::MetricType::Histogram).metric.push_back(metric);
}

std::string MetricsBuilder::render() const
{
    return prometheus::TextSerializer().Serialize(m_families);
}

void addEntryMetrics(MetricsBuilder &builder, const EntryCounters &counters)
{
    for (const EntryCounterSpec &spec : kEntryCounters)
        builder.counter(spec.name, spec.help, static_cast<double>((counters.*spec.count).load()));
    const std::string name = "lycheebay_outcomes_total";
    const std::string help = "Requests by what became of them.";
    builder.counter(name, help, static_cast<double>(counters.done), "outcome", "done");
    builder.counter(name, help, static_cast<double>(counters.notRun), "outcome", "not-run");
    builder.counter(name, help, static_cast<double>(counters.unknown), "outcome", "unknown");
    builder.histogram("lycheebay_added_latency_seconds",
                      "Time that this entry adds to a request beside waiting for the target.",
                      counters.addedLatency);
}

void addHttpMetrics(MetricsBuilder &builder, const HttpServerCounters &counters)
{
    builder.counter("lycheebay_connections_total", "Connections of callers.",
                    static_cast<double>(counters.connections));
    builder.counter("lycheebay_refused_connections_total", "Connections over the bound.",
                    static_cast<double>(counters.refusedConnections));
    builder.counter("lycheebay_bad_requests_total", "Malformed requests.",
                    static_cast<double>(counters.badRequests));
    builder.gauge("lycheebay_open_connections", "Open connections of callers.",
                  static_cast<double>(counters.openConnections));
}

void addPeerMetrics(MetricsBuilder &builder, const PeerTraffic &traffic)
{
    struct Side
    {
        const char *prefix;
        const char *where;
        const PeerTraffic::ByKind &kinds;
    };
    const std::array<Side, 2> sides{ { { "lycheebay_peer", "in the region", traffic.inRegion },
                                       { "lycheebay_region_link", "between regions",
                                         traffic.betweenRegions } } };
    for (const Side &side : sides) {
        for (std::size_t i = 0; i < kPeerMessageKindCount; ++i) {
            const std::string kind(peerMessageName(static_cast<PeerMessageKind>(i)));
            builder.counter(std::string(side.prefix) + "_received_bytes_total",
                            std::string("Control bytes received ") + side.where + ".",
                            static_cast<double>(side.kinds[i].bytesIn), "kind", kind);
            builder.counter(std::string(side.prefix) + "_sent_bytes_total",
                            std::string("Control bytes sent ") + side.where + ".",
                            static_cast<double>(side.kinds[i].bytesOut), "kind", kind);
        }
    }
}

void addCellMetrics(MetricsBuilder &builder, const CellDirectory &cells)
{
    for (const auto &[service, cell] : cells.cells()) {
        const bool owner = cell->role() == DispatchRole::Owner;
        builder.gauge("lycheebay_cell_owner", "1 while this instance dispatches for the cell.",
                      owner, { { "service", service } });
        builder.gauge("lycheebay_cell_queued", "Requests that wait for a target.",
                      static_cast<double>(cell->queuedCount()), { { "service", service } });
        // Only the owner knows its targets; leaving out the others bounds the number of series.
        if (!owner)
            continue;
        for (const TargetStatus &target : cell->status())
            addTargetMetrics(builder, service, target);
    }
}

} // namespace lycheebay
