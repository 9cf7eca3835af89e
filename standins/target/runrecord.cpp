#include "standins/target/runrecord.h"

namespace lycheebay::standins {

using nlohmann::json;

void RunRecord::add(const std::string &key, const std::string &requestId, const std::string &target,
                    const std::string &failureDomain)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const std::int64_t nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    DomainEntry &domain = m_domains[failureDomain];
    ++domain.started;
    domain.lastStartMs = nowMs;
    const std::string &name = key.empty() ? requestId : key;
    if (name.empty())
        return;
    Entry &entry = m_entries[name];
    entry.isKeyed = !key.empty();
    entry.runs.push_back({ target, nowMs });
}

json RunRecord::toJson(const std::string &key, const Entry &entry)
{
    json runs = json::array();
    for (const Run &it : entry.runs)
        runs.push_back({ { "target", it.target }, { "startMs", it.startMs } });
    return { { "key", key }, { "count", entry.runs.size() }, { "runs", runs } };
}

json RunRecord::runs(const std::string &key) const
{
    const auto it = m_entries.find(key);
    return toJson(key, it == m_entries.end() ? Entry() : it->second);
}

json RunRecord::allRuns() const
{
    json counts = json::object();
    for (const auto &[key, entry] : m_entries)
        counts[key] = entry.runs.size();
    return counts;
}

json RunRecord::doubled() const
{
    json result = json::array();
    for (const auto &[key, entry] : m_entries) {
        if (entry.isKeyed && entry.runs.size() > 1)
            result.push_back(toJson(key, entry));
    }
    return result;
}

json RunRecord::failureDomains() const
{
    json result = json::object();
    for (const auto &[name, domain] : m_domains)
        result[name] = { { "started", domain.started }, { "lastStartMs", domain.lastStartMs } };
    return result;
}

void RunRecord::reset()
{
    m_entries.clear();
    m_domains.clear();
}

} // namespace lycheebay::standins
