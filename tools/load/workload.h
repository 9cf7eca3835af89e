#pragma once

#include "tools/load/loadsettings.h"

#include <mutex>
#include <optional>
#include <random>

namespace lycheebay::load {

/// A request before it is sent.
struct PlannedRequest
{
    std::string id;
    const MixPart *part = nullptr;
    Path path = Path::Entry;
    std::string query;
    std::string body;
    std::int64_t intendedUs = 0;
    /// Service time that the target is asked for; 0 leaves it to the target.
    std::int64_t serviceTimeUs = 0;
};

/// Poisson arrivals of the mix. The same settings give the same requests at the same times, so that
/// runs with different strategies can be compared.
class Workload
{
public:
    /// \a runId makes request ids unique over several runs.
    Workload(const LoadSettings &settings, std::string runId);

    /// The next request in order of time, or nothing at the end. Thread-safe.
    std::optional<PlannedRequest> next();

private:
    const MixPart &choosePart();
    std::int64_t serviceTimeUs();

    const LoadSettings &m_settings;
    std::string m_runId;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::uint64_t m_count = 0;
    double m_timeUs = 0;
};

} // namespace lycheebay::load
