#include "tools/load/loadrun.h"
#include "tools/load/summary.h"

#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <thread>

using namespace lycheebay::load;
using nlohmann::json;

namespace {

constexpr int kExitViolation = 1;
constexpr int kExitError = 2;

absl::StatusOr<std::vector<RequestRecord>> obtainHistory(const LoadSettings &settings)
{
    if (settings.isCheckOnly())
        return readHistory(settings.history);
    std::vector<RequestRecord> history = runLoad(settings);
    if (!settings.history.empty()) {
        const absl::Status status = writeHistory(settings.history, history);
        if (!status.ok())
            return status;
    }
    return history;
}

void writeJson(const std::string &file, const json &summary)
{
    if (file == "-")
        std::cout << summary.dump() << "\n";
    else if (!file.empty())
        std::ofstream(file) << summary.dump(2) << "\n";
}

bool isAcceptable(const LoadSettings &settings, const HistoryCheck &check)
{
    const bool isUnknownBounded =
            settings.maxUnknown < 0
            || check.refusedUnknown <= static_cast<std::uint64_t>(settings.maxUnknown);
    return check.isClean() && isUnknownBounded;
}

absl::StatusOr<int> run(const LoadSettings &settings)
{
    const auto history = obtainHistory(settings);
    if (!history.ok())
        return history.status();
    json summary = summarize(*history, settings.overhead);
    summary["seed"] = settings.seed;
    std::cout << formatSummary(summary);
    if (!settings.check) {
        writeJson(settings.json, summary);
        return 0;
    }
    if (!settings.isCheckOnly())
        std::this_thread::sleep_for(std::chrono::milliseconds(settings.settleMs));
    const auto runs = fetchRunCounts(settings.targetControls);
    if (!runs.ok())
        return runs.status();
    const HistoryCheck check = checkHistory(*history, *runs);
    summary["check"] = toJson(check);
    writeJson(settings.json, summary);
    std::cout << fmt::format("unknown={} wrong={} false-not-run={}\n", check.refusedUnknown,
                             check.wrong, check.falseNotRun.size());
    std::cout << fmt::format("sent={} answered={} refused={} lost={} doubled={}\n", check.sent,
                             check.answered, check.refused, check.lost.size(),
                             check.doubled.size());
    return isAcceptable(settings, check) ? 0 : kExitViolation;
}

} // namespace

int main(int argc, char **argv)
{
    const auto settings = parseLoadSettings(argc, argv);
    if (!settings.ok()) {
        std::cerr << settings.status().message();
        return kExitError;
    }
    const auto result = run(*settings);
    if (!result.ok()) {
        std::cerr << result.status().message() << "\n";
        return kExitError;
    }
    return *result;
}
