#include "tools/load/addressbook.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace lycheebay::load {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kAskTimeout(500);
constexpr int kDefaultTtlMs = 1000;

AddressAnswer parseAnswer(const std::string &text)
{
    const json body = json::parse(text);
    std::vector<std::pair<int, Address>> byPriority;
    for (const json &it : body.at("addresses")) {
        const Address address{ it.at("host"), it.at("port").get<std::uint16_t>() };
        byPriority.emplace_back(it.value("priority", 0), address);
    }
    std::stable_sort(byPriority.begin(), byPriority.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    AddressAnswer answer;
    for (const auto &[priority, address] : byPriority)
        answer.addresses.push_back(address);
    answer.ticket = body.value("ticket", "");
    // A ticket is renewed well before the end of its life, so that repeats fit in as well.
    const int ttlMs = body.value("ttlMs", kDefaultTtlMs);
    const int ticketMs = body.value("ticketLifeMs", 2 * ttlMs) / 2;
    answer.expiry =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(std::min(ttlMs, ticketMs));
    return answer;
}

} // namespace

AddressBook::AddressBook(std::vector<std::string> entries, std::string tenant)
    : m_entries(std::move(entries))
    , m_tenant(std::move(tenant))
{}

absl::StatusOr<AddressAnswer> AddressBook::get(const std::string &service)
{
    std::size_t first = 0;
    {
        const std::scoped_lock lock(m_mutex);
        const auto it = m_cache.find(service);
        if (it != m_cache.end() && it->second.expiry > std::chrono::steady_clock::now())
            return it->second;
        first = m_nextEntry;
    }
    absl::Status last = absl::UnavailableError("no entry");
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        const std::size_t index = (first + n) % m_entries.size();
        auto answer = ask(m_entries[index], service);
        if (answer.ok()) {
            const std::scoped_lock lock(m_mutex);
            m_nextEntry = index;
            m_cache[service] = *answer;
            return answer;
        }
        last = answer.status();
    }
    return last;
}

void AddressBook::drop(const std::string &service, const std::string &ticket)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_cache.find(service);
    if (it != m_cache.end() && it->second.ticket == ticket)
        m_cache.erase(it);
}

void AddressBook::dropAndChangeEntry(const std::string &service, const std::string &ticket)
{
    drop(service, ticket);
    const std::scoped_lock lock(m_mutex);
    m_nextEntry = m_entries.empty() ? 0 : (m_nextEntry + 1) % m_entries.size();
}

absl::StatusOr<AddressAnswer> AddressBook::ask(const std::string &entry,
                                               const std::string &service) const
{
    const auto address = parseAddress(entry);
    if (!address.ok())
        return address.status();
    httplib::Client client(address->host, address->port);
    client.set_connection_timeout(kAskTimeout);
    client.set_read_timeout(kAskTimeout);
    const std::string tenant = m_tenant.empty() ? "" : "&tenant=" + m_tenant;
    const auto response = client.Get("/v1/addresses?service=" + service + tenant);
    if (!response || response->status != 200)
        return absl::UnavailableError("no addresses from " + entry);
    try {
        AddressAnswer answer = parseAnswer(response->body);
        if (!answer.addresses.empty())
            return answer;
    } catch (const json::exception &) {
        return absl::UnavailableError("malformed addresses from " + entry);
    }
    return absl::UnavailableError("empty addresses from " + entry);
}

} // namespace lycheebay::load
