#include "entry/internal/addressservice.h"

#include "entry/internal/localrunner.h"
#include "entry/internal/requestcontext.h"
#include "transport/loadheader.h"
#include "transport/problem.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lycheebay {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Entries named for the region and for each other region.
constexpr std::size_t kOwnRegionEntries = 3;
constexpr std::size_t kOtherRegionEntries = 1;
constexpr std::chrono::milliseconds kForwardTimeout{ 500 };
constexpr std::chrono::seconds kRetryAfter{ 1 };

} // namespace

struct AddressService::Question
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
    // Callers must not be led to an instance that refuses their requests; another entry may answer.
    if (!m_lease.isValid(m_clock.now()))
        return problemResponse("not-run", unattestedRefusal());
    Question question;
    const Refusal refusal = parse(request, question);
    if (!refusal.reason.empty())
        return problemResponse("not-run", refusal);
    std::vector<const Member *> entries = entriesFor(question);
    if (entries.empty())
        return problemResponse("not-run", { 503, "no entry serves this now", kRetryAfter });
    const Member *self = namedSelf(question);
    const bool isSelf = entries.front()->identity.incarnation == m_settings.self.incarnation;
    if (isSelf || findHeader(request.headers, kForwardedHeader))
        return answerHere(self, entries);
    HttpRequest message = request;
    setHeader(message.headers, kForwardedHeader, forwardedValue(m_settings.self.incarnation));
    const ExchangeResult answer = m_client.exchange(entries.front()->identity.http, message,
                                                    m_clock.now() + kForwardTimeout, nullptr, {});
    if (answer.response && answer.response->status == 200)
        return *answer.response;
    // The dispatcher cannot be reached from here, so it may be gone.
    entries.erase(entries.begin());
    if (!self && entries.empty())
        return problemResponse("not-run", { 503, "no entry can be reached now", kRetryAfter });
    return answerHere(self, entries);
}

const Member *AddressService::namedSelf(const Question &question) const
{
    const Member *self = question.plan->findIncarnation(m_settings.self.incarnation);
    const bool servesRegion =
            std::find(question.regions.begin(), question.regions.end(), m_settings.self.region)
            != question.regions.end();
    return self && !self->leaving && servesRegion && mayName(question, *self) ? self : nullptr;
}

Refusal AddressService::parse(const HttpRequest &request, Question &question) const
{
    question.configuration = m_board.configuration.read();
    question.plan = m_board.plan.read();
    if (!question.configuration || !question.plan)
        return { 503, "no configuration yet", kRetryAfter };
    const Estate &estate = *question.configuration->estate();
    question.service = queryValue(request.target, "service").value_or("");
    if (!estate.hasService(question.service))
        return { 404, "unknown service", {} };
    question.regions = estate.regionsOf(question.service);
    const std::string tenantName = queryValue(request.target, "tenant").value_or("");
    if (!tenantName.empty()) {
        const Tenant *tenant = estate.findTenant(tenantName);
        if (!tenant)
            return { 403, "unknown tenant", {} };
        const auto &homes = tenant->homeRegions;
        std::erase_if(question.regions, [&](const std::string &region) {
            return !homes.empty() && std::find(homes.begin(), homes.end(), region) == homes.end();
        });
    }
    std::stable_partition(question.regions.begin(), question.regions.end(),
                          [&](const auto &region) { return region == m_settings.self.region; });
    return {};
}

bool AddressService::mayName(const Question &question, const Member &member) const
{
    const RosterMember &identity = member.identity;
    if (m_leaving && identity.incarnation == m_settings.self.incarnation)
        return false;
    // Callers use an answer for its life, and their tickets for longer.
    const Duration lead = m_settings.addressLife + m_settings.outcomes.ticketLife;
    return !question.configuration->estate()->instanceStops(
            identity.instanceId, identity.failureDomain, m_clock.wallNow(), lead);
}

std::vector<const Member *> AddressService::entriesFor(const Question &question) const
{
    std::vector<const Member *> entries;
    for (const std::string &region : question.regions) {
        const bool first = entries.empty();
        const std::size_t wanted = first ? kOwnRegionEntries : kOtherRegionEntries;
        std::size_t taken = 0;
        const std::size_t all = question.plan->members().size();
        for (const Member *member : question.plan->successors(question.service, region, all)) {
            if (taken < wanted && mayName(question, *member)) {
                entries.push_back(member);
                ++taken;
            }
        }
    }
    return entries;
}

HttpResponse AddressService::answerHere(const Member *self, std::vector<const Member *> entries)
{
    // The ticket names this instance, so a caller must try it first.
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
                         { "ttlMs", duration_cast<milliseconds>(m_settings.addressLife).count() } };
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
