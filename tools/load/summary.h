#pragma once

#include "tools/load/historycheck.h"

namespace lycheebay::load {

/// Nearest-rank percentile of \a values in [0, 1]; 0 when there are none.
double percentile(std::vector<double> values, double share);

/// Counts and latencies per kind, and with \a isOverhead the latency that the system adds.
nlohmann::json summarize(const std::vector<RequestRecord> &history, bool isOverhead);
nlohmann::json toJson(const HistoryCheck &check);

/// Readable form of summarize().
std::string formatSummary(const nlohmann::json &summary);

} // namespace lycheebay::load
