#include "entry/internal/addressservice.h"

#include "entry/internal/localexecutor.h"
#include "entry/internal/requestcontext.h"
#include "transport/loadheader.h"
#include "transport/problem.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lycheebay {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Numbers of entries listed for the first region that has any, and for each further region.
constexpr std::size_t kFirstRegionEntries = 3;
constexpr std::size_t kOtherRegionEntries = 1;
constexpr std::chrono::milliseconds kForwardTimeout{ 500 };
constexpr std::chrono::seconds kRetryAfter{ 1 };

} // namespace

struct AddressService::AddressQuery
{
    IntrusivePtr<const ConfigurationState> configuration;
    IntrusivePtr<const CellPlan> plan;
    std::string service;
    /// Regions that may serve the caller, this instance's region first.
    std::vector<std::string> regions;
};

AddressService::AddressService(const EntrySettings &settings, const IClock &clock,
                               const Blackboard &board, const IConfigurationLease &lease,
                               TargetClient &client, EntryCounters &counters)
    : m_settings(settings)
    , m_clock(clock)
    , m_board(board)
    , m_lease(lease)
    , m_client(client)
    , m_counters(counters)
    , m_tickets(settings.self.incarnation)
{}

bool AddressService::hasLiveTickets() const
{
    const Duration::rep last = m_lastIssue;
    return last != 0 && m_clock.now() < TimePoint(Duration(last)) + m_settings.outcomes.ticketLife;
}

HttpResponse AddressService::answer(const HttpRequest &request)
{
    ++m_counters.addressAnswers;
    if (request.method != "GET")
        return problemResponse("not-run", { 405, "only GET", {} });
    // Without a lease this instance would refuse the requests that follow; another entry may
    // answer.
    if (!m_lease.isValid(m_clock.now()))
        return problemResponse("not-run", unattestedRefusal());
    AddressQuery query;
    const Refusal refusal = parse(request, query);
    if (!refusal.reason.empty())
        return problemResponse("not-run", refusal);
    std::vector<const Member *> entries = candidateEntries(query);
    if (entries.empty())
        return problemResponse("not-run", { 503, "no entry serves this now", kRetryAfter });
    const Member *self = advertisableSelf(query);
    const bool isSelf = entries.front()->identity.incarnation == m_settings.self.incarnation;
    if (isSelf || findHeader(request.headers, kForwardedHeader))
        return buildAnswer(self, entries);
    HttpRequest message = request;
    setHeader(message.headers, kForwardedHeader, forwardedValue(m_settings.self.incarnation));
    const ExchangeResult answer = m_client.exchange(entries.front()->identity.http, message,
                                                    m_clock.now() + kForwardTimeout, nullptr, {});
    if (answer.response && answer.response->status == 200)
        return *answer.response;
    // The dispatcher gave no usable answer and may be gone, so leave it out.
    entries.erase(entries.begin());
    if (!self && entries.empty())
        return problemResponse("not-run", { 503, "no entry can be reached now", kRetryAfter });
    return buildAnswer(self, entries);
}

const Member *AddressService::advertisableSelf(const AddressQuery &query) const
{
    const Member *self = query.plan->findIncarnation(m_settings.self.incarnation);
    const bool servesRegion =
            std::find(query.regions.begin(), query.regions.end(), m_settings.self.region)
            != query.regions.end();
    return self && !self->leaving && servesRegion && mayAdvertise(query, *self) ? self : nullptr;
}

Refusal AddressService::parse(const HttpRequest &request, AddressQuery &query) const
{
    query.configuration = m_board.configuration.read();
    query.plan = m_board.plan.read();
    if (!query.configuration || !query.plan)
        return { 503, "no configuration yet", kRetryAfter };
    const Estate &estate = *query.configuration->estate();
    query.service = queryValue(request.target, "service").value_or("");
    if (!estate.hasService(query.service))
        return { 404, "unknown service", {} };
    query.regions = estate.regionsOf(query.service);
    const std::string tenantName = queryValue(request.target, "tenant").value_or("");
    if (!tenantName.empty()) {
        const Tenant *tenant = estate.findTenant(tenantName);
        if (!tenant)
            return { 403, "unknown tenant", {} };
        const auto &homes = tenant->homeRegions;
        std::erase_if(query.regions, [&](const std::string &region) {
            return !homes.empty() && std::find(homes.begin(), homes.end(), region) == homes.end();
        });
    }
    std::stable_partition(query.regions.begin(), query.regions.end(),
                          [&](const auto &region) { return region == m_settings.self.region; });
    return {};
}

bool AddressService::mayAdvertise(const AddressQuery &query, const Member &member) const
{
    const RosterMember &identity = member.identity;
    if (m_leaving && identity.incarnation == m_settings.self.incarnation)
        return false;
    // Callers cache an answer for its TTL and may then start requests until their tickets expire.
    const Duration lead = m_settings.addressTtl + m_settings.outcomes.ticketLife;
    return !query.configuration->estate()->instanceStops(
            identity.instanceId, identity.failureDomain, m_clock.wallNow(), lead);
}

std::vector<const Member *> AddressService::candidateEntries(const AddressQuery &query) const
{
    std::vector<const Member *> entries;
    for (const std::string &region : query.regions) {
        const bool first = entries.empty();
        const std::size_t wanted = first ? kFirstRegionEntries : kOtherRegionEntries;
        std::size_t taken = 0;
        const std::size_t all = query.plan->members().size();
        for (const Member *member : query.plan->successors(query.service, region, all)) {
            if (taken < wanted && mayAdvertise(query, *member)) {
                entries.push_back(member);
                ++taken;
            }
        }
    }
    return entries;
}

HttpResponse AddressService::buildAnswer(const Member *self, std::vector<const Member *> entries)
{
    // The ticket names this instance, so callers must try it first.
    if (self) {
        std::erase(entries, self);
        entries.insert(entries.begin(), self);
    }
    nlohmann::json addresses = nlohmann::json::array();
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const Address &http = entries[i]->identity.http;
        addresses.push_back({ { "host", http.host }, { "port", http.port }, { "priority", i } });
    }
    nlohmann::json body{ { "addresses", addresses },
                         { "ttlMs", duration_cast<milliseconds>(m_settings.addressTtl).count() } };
    if (self) {
        const TimePoint now = m_clock.now();
        const Ticket ticket = m_tickets.issue(now);
        m_lastIssue = now.time_since_epoch().count();
        body["ticket"] = formatTicket(ticket);
        body["ticketLifeMs"] = duration_cast<milliseconds>(m_settings.outcomes.ticketLife).count();
    }
    return { 200, { { "Content-Type", "application/json" } }, body.dump() };
}

} // namespace lycheebay
