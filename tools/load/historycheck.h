#pragma once

#include "tools/load/requestrecord.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace lycheebay::load {

/// How often each key (or request id of a lookup) ran at the targets.
using RunCounts = std::unordered_map<std::string, std::uint64_t>;

struct HistoryCheck
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    /// Refused with a stated outcome, not-run or unknown, or never sent.
    std::uint64_t refused = 0;
    std::uint64_t refusedUnknown = 0;
    std::uint64_t wrong = 0;
    /// Requests answered as done that never ran.
    std::vector<std::string> lost;
    /// Orders that ran more than once, with one key or with several.
    std::vector<std::string> doubled;
    /// Requests with a key refused as not-run that nevertheless ran.
    std::vector<std::string> falseNotRun;

    bool isClean() const
    {
        return lost.empty() && doubled.empty() && falseNotRun.empty() && wrong == 0;
    }
};

/// Compares what callers were told with what ran. Pure.
///
/// The last outcome of an order's key is a statement about the key, since its incarnation is the
/// sole authority for it. A lookup was not run only when every try was refused as not-run.
HistoryCheck checkHistory(const std::vector<RequestRecord> &history, const RunCounts &runs);

} // namespace lycheebay::load
