#pragma once

#include "tools/load/requestrecord.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lycheebay::load {

/// One kind of request in the mix.
struct MixPart
{
    Kind kind = Kind::Lookup;
    std::string service;
    std::string path;
    double share = 1;
};

enum class ServiceTimes { None, Exponential, LogNormal };

struct LoadSettings
{
    std::vector<std::string> entries;
    std::vector<std::string> direct;
    std::vector<std::string> targetControls;
    std::vector<MixPart> mix;
    std::string tenant;
    /// Requests per second over the whole run.
    double rate = 100;
    std::uint64_t requests = 1000;
    int workers = 64;
    int maxTries = 4;
    int deadlineMs = 2000;
    int settleMs = 1000;
    std::uint64_t seed = 1;
    ServiceTimes serviceTimes = ServiceTimes::None;
    double serviceMs = 5;
    double sigma = 0.5;
    /// Text that every poisonEvery-th request carries, for targets that crash on it.
    std::string poison;
    std::uint64_t poisonEvery = 0;
    std::string history;
    std::string json;
    bool check = false;
    bool overhead = false;
    /// Unknown outcomes that --check tolerates; negative tolerates all.
    std::int64_t maxUnknown = -1;

    /// Only checks a stored history.
    bool isCheckOnly() const { return entries.empty() && direct.empty(); }
};

/// Errors: InvalidArgument naming every fault. Exits on flags that TCLAP rejects.
absl::StatusOr<LoadSettings> parseLoadSettings(int argc, char **argv);

} // namespace lycheebay::load
