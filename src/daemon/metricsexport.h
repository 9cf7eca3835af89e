#pragma once

#include "base/iclock.h"

#include <prometheus/metric_family.h>

#include <string>
#include <string_view>
#include <vector>

namespace lycheebay {

struct EntryCounters;
struct HttpServerCounters;
struct PeerTraffic;
class CellDirectory;
class DurationHistogram;

/// Collects metric families in the Prometheus data model. Names follow its conventions: base units,
/// `_total` for counters, few label values. Not thread-safe: one builder a scrape.
class MetricsBuilder
{
public:
    void counter(const std::string &name, const std::string &help, double value,
                 const std::string &label = {}, const std::string &labelValue = {});
    void gauge(const std::string &name, const std::string &help, double value,
               const std::vector<prometheus::ClientMetric::Label> &labels = {});
    void histogram(const std::string &name, const std::string &help,
                   const DurationHistogram &histogram);

    /// Returns the text exposition format.
    std::string render() const;

private:
    prometheus::MetricFamily &family(const std::string &name, const std::string &help,
                                     prometheus::MetricType type);

    std::vector<prometheus::MetricFamily> m_families;
};

void addEntryMetrics(MetricsBuilder &builder, const EntryCounters &counters);
void addHttpMetrics(MetricsBuilder &builder, const HttpServerCounters &counters);
void addPeerMetrics(MetricsBuilder &builder, const PeerTraffic &traffic);
void addCellMetrics(MetricsBuilder &builder, const CellDirectory &cells);

} // namespace lycheebay
