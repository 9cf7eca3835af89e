#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace lycheebay::standins {

/// What ran, over all targets of the process. Not thread-safe.
class RunRecord
{
public:
    /// Records the start of a request. \a key is its Idempotency-Key; \a requestId identifies
    /// requests without one.
    void add(const std::string &key, const std::string &requestId, const std::string &target,
             const std::string &failureDomain);
    /// Runs of one key or request id.
    nlohmann::json runs(const std::string &key) const;
    /// Run count of every key and request id.
    nlohmann::json allRuns() const;
    /// Keys that ran more than once, with the targets.
    nlohmann::json doubled() const;
    /// Starts per failure domain, with the wall time of the last one.
    nlohmann::json failureDomains() const;
    void reset();

private:
    struct Run
    {
        std::string target;
        std::int64_t startMs = 0;
    };
    struct Entry
    {
        bool isKeyed = false;
        std::vector<Run> runs;
    };
    struct DomainEntry
    {
        std::uint64_t started = 0;
        std::int64_t lastStartMs = 0;
    };

    static nlohmann::json toJson(const std::string &key, const Entry &entry);

    std::unordered_map<std::string, Entry> m_entries;
    std::map<std::string, DomainEntry> m_domains;
};

} // namespace lycheebay::standins
