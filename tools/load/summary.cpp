#include "tools/load/summary.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace lycheebay::load {

using nlohmann::json;

namespace {

struct Percentile
{
    const char *name;
    double share;
};

constexpr Percentile kPercentiles[] = { { "p50", 0.5 }, { "p99", 0.99 }, { "p99.9", 0.999 } };

template <class Predicate>
json summarizeGroup(const std::vector<RequestRecord> &history, Predicate isMember)
{
    std::uint64_t sent = 0;
    std::uint64_t failed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t wrong = 0;
    std::vector<double> latenciesMs;
    for (const RequestRecord &it : history) {
        if (!isMember(it))
            continue;
        ++sent;
        wrong += it.isWrong ? 1 : 0;
        notRun += it.outcome == Outcome::NotRun ? 1 : 0;
        unknown += it.outcome == Outcome::Unknown ? 1 : 0;
        failed += it.outcome == Outcome::Done && it.status() >= 300 ? 1 : 0;
        if (it.outcome == Outcome::Done)
            latenciesMs.push_back(static_cast<double>(it.endUs - it.intendedUs) / 1000);
    }
    json group = { { "sent", sent },       { "answered", latenciesMs.size() },
                   { "failed", failed },   { "refused", notRun },
                   { "unknown", unknown }, { "wrong", wrong } };
    for (const Percentile &it : kPercentiles)
        group[std::string(it.name) + "Ms"] = percentile(latenciesMs, it.share);
    return group;
}

} // namespace

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const double rank = std::ceil(share * static_cast<double>(values.size()));
    const std::size_t index = rank < 1 ? 0 : static_cast<std::size_t>(rank) - 1;
    const auto it = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), it, values.end());
    return *it;
}

json summarize(const std::vector<RequestRecord> &history, bool isOverhead)
{
    json groups = json::object();
    groups["all"] = summarizeGroup(history, [](const RequestRecord &) { return true; });
    const auto isKind = [](Kind kind) {
        return [kind](const RequestRecord &it) { return it.kind == kind; };
    };
    groups["lookup"] = summarizeGroup(history, isKind(Kind::Lookup));
    groups["order"] = summarizeGroup(history, isKind(Kind::Order));
    json summary = json::object();
    if (isOverhead) {
        const auto isPath = [](Path path) {
            return [path](const RequestRecord &it) { return it.path == path; };
        };
        groups["direct"] = summarizeGroup(history, isPath(Path::Direct));
        groups["entry"] = summarizeGroup(history, isPath(Path::Entry));
        for (const Percentile &it : kPercentiles) {
            const std::string name = std::string(it.name) + "Ms";
            summary["overhead"][name] =
                    groups["entry"][name].get<double>() - groups["direct"][name].get<double>();
        }
    }
    summary["groups"] = groups;
    return summary;
}

json toJson(const HistoryCheck &check)
{
    return { { "sent", check.sent },       { "answered", check.answered },
             { "refused", check.refused }, { "refusedUnknown", check.refusedUnknown },
             { "wrong", check.wrong },     { "lost", check.lost },
             { "doubled", check.doubled }, { "falseNotRun", check.falseNotRun } };
}

std::string formatSummary(const json &summary)
{
    std::string text;
    for (const auto &[name, it] : summary["groups"].items()) {
        text += fmt::format("{:7} sent={} answered={} failed={} refused={} unknown={} wrong={} "
                            "p50={:.3f} p99={:.3f} p99.9={:.3f} ms\n",
                            name, it["sent"].get<std::uint64_t>(),
                            it["answered"].get<std::uint64_t>(), it["failed"].get<std::uint64_t>(),
                            it["refused"].get<std::uint64_t>(), it["unknown"].get<std::uint64_t>(),
                            it["wrong"].get<std::uint64_t>(), it["p50Ms"].get<double>(),
                            it["p99Ms"].get<double>(), it["p99.9Ms"].get<double>());
    }
    if (summary.contains("overhead")) {
        const json &it = summary["overhead"];
        text += fmt::format("overhead p50={:.3f} p99={:.3f} p99.9={:.3f} ms\n",
                            it["p50Ms"].get<double>(), it["p99Ms"].get<double>(),
                            it["p99.9Ms"].get<double>());
    }
    return text;
}

} // namespace lycheebay::load
