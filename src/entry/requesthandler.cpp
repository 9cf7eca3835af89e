#include "entry/requesthandler.h"

#include "entry/internal/addressservice.h"
#include "entry/internal/forwarder.h"
#include "entry/internal/idempotencykeyregistry.h"
#include "entry/internal/localexecutor.h"
#include "transport/loadheader.h"
#include "transport/problem.h"

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kAddressesPath = "/v1/addresses";
constexpr int kOutsideHomeRegions = 421;
constexpr std::chrono::seconds kKeyTableFullRetryAfter{ 5 };

} // namespace

class RequestHandler::Private
{
public:
    Private(const EntrySettings &settings, const IClock &clock, const Blackboard &board,
            const IConfigurationLease &lease, TargetClient &client, CellDirectory &cells,
            IPeerSharing &sharing)
        : m_settings(settings)
        , m_clock(clock)
        , m_board(board)
        , m_lease(lease)
        , m_keys(settings.outcomes, settings.self.incarnation, clock)
        , m_suspects(settings.suspects, clock, sharing, m_counters)
        , m_local(settings, clock, lease, client, cells, m_suspects, m_counters)
        , m_forwarder(settings, clock, lease, client, m_counters)
        , m_addresses(settings, clock, board, lease, client, m_counters)
    {}

    HttpResponse handle(const HttpRequest &request, const ICaller &caller)
    {
        if (request.path() == kAddressesPath)
            return m_addresses.answer(request);
        ++m_counters.requests;
        const TimePoint receivedAt = m_clock.now();
        auto built = buildContext(request, caller, m_settings, m_board, receivedAt);
        if (const auto *refusal = std::get_if<Refusal>(&built)) {
            ++(refusal->status == kOutsideHomeRegions ? m_counters.homeRegionRefusals
                                                      : m_counters.notRun);
            return problemResponse(mayHaveRunBefore(request) ? "unknown" : "not-run", *refusal);
        }
        RequestContext &context = std::get<RequestContext>(built);
        const Outcome outcome = process(context);
        countOutcome(outcome);
        HttpResponse response = renderOutcome(outcome);
        m_counters.addedLatency.record(m_clock.now() - receivedAt - context.upstreamTime);
        return response;
    }

    IdempotencyKeyRegistry &keys() { return m_keys; }
    SuspectRegistry &suspects() { return m_suspects; }
    AddressService &addresses() { return m_addresses; }
    const EntryCounters &counters() const { return m_counters; }
    std::atomic<std::size_t> &runningRequests() { return m_runningRequests; }

private:
    Outcome process(RequestContext &context)
    {
        // A known key is answered from the table even without a valid lease: a repeat starts no new
        // work, and answering "not run" would be wrong.
        if (!context.key)
            return execute(context);
        if (context.key->ticket.incarnation == m_settings.self.incarnation)
            return executeOnce(context);
        // The forwarding entry holds the table entry of this key and forwards the request only
        // once.
        if (context.origin != RequestOrigin::Caller)
            return execute(context);
        return forwardToIssuer(context);
    }

    /// Runs the request unless its key is already in the table. All requests with keys of this
    /// incarnation start here.
    Outcome executeOnce(RequestContext &context)
    {
        const RequestIdentity identity = identifyRequest(context.request, context.tenant);
        const KeyDecision decision = m_keys.begin(*context.key, identity, context.deadline);
        if (decision.state != KeyState::Run)
            return outcomeOfKnownKey(decision);
        Outcome outcome = Unknown{ { 500, "internal error", {} } };
        try {
            outcome = execute(context);
        } catch (...) {
            m_keys.complete(*context.key, outcome);
            throw;
        }
        m_keys.complete(*context.key, outcome);
        return outcome;
    }

    Outcome outcomeOfKnownKey(const KeyDecision &decision)
    {
        switch (decision.state) {
        case KeyState::Replay:
            ++m_counters.replayed;
            return Done{ decision.response };
        case KeyState::Conflict:
            ++m_counters.keyConflicts;
            return NotRun{ { 422, "the key was used with another request", {} } };
        case KeyState::ExpiredNotRun:
            return NotRun{ { 409, "the ticket expired; get a new one", {} } };
        case KeyState::Full:
            ++m_counters.keyTableFull;
            return NotRun{ { 503, "too many keys to remember", kKeyTableFullRetryAfter } };
        case KeyState::Invalid:
            return NotRun{ { 400, "the ticket was not issued here", {} } };
        case KeyState::DoneWithoutBody:
            return Unknown{ { 410, "done before; the response was not kept", {} } };
        case KeyState::InProgress:
            return Unknown{ { 504, "still running at the deadline", {} } };
        case KeyState::Run:
        case KeyState::Unknown:
            break;
        }
        return Unknown{ { 409, "this key may have run before", {} } };
    }

    /// Forwards to the entry that issued the ticket, the only one that knows the outcome of its
    /// keys.
    Outcome forwardToIssuer(RequestContext &context)
    {
        const Member *issuer = context.plan->findIncarnation(context.key->ticket.incarnation);
        if (issuer && issuer->identity.region == m_settings.self.region) {
            if (const auto outcome = m_forwarder.forward(context, *issuer))
                return *outcome;
        }
        return Unknown{ { 409, "the ticket is of another instance", {} } };
    }

    /// Returns whether the request repeats a key that may have run. A refusal before the table
    /// lookup must not report such a request as "not run".
    bool mayHaveRunBefore(const HttpRequest &request) const
    {
        const std::string *text = findHeader(request.headers, kIdempotencyKeyHeader);
        if (!text)
            return false;
        const auto key = parseIdempotencyKey(*text);
        return key.ok() && !m_keys.isCertainlyNew(*key);
    }

    Outcome execute(RequestContext &context)
    {
        if (!m_lease.isValid(m_clock.now())) {
            ++m_counters.unattestedRefusals;
            return NotRun{ unattestedRefusal() };
        }
        Outcome outcome = route(context);
        if (context.mayHaveRun && std::holds_alternative<NotRun>(outcome))
            return Unknown{ { 502, "another entry's response was lost", {} } };
        return outcome;
    }

    Outcome route(RequestContext &context)
    {
        if (context.origin == RequestOrigin::Caller) {
            const Member *owner = context.plan->dispatcher(context.service, m_settings.self.region);
            if (owner && owner->identity.incarnation != m_settings.self.incarnation) {
                if (const auto outcome = m_forwarder.forward(context, *owner))
                    return *outcome;
                ++m_counters.fallbacks;
            }
        }
        LocalResult local = m_local.run(context);
        if (!local.noTarget || context.origin == RequestOrigin::OtherRegion)
            return local.outcome;
        if (const auto outcome = m_forwarder.spill(context))
            return *outcome;
        return local.outcome;
    }

    void countOutcome(const Outcome &outcome)
    {
        if (std::holds_alternative<Done>(outcome))
            ++m_counters.done;
        else if (std::holds_alternative<NotRun>(outcome))
            ++m_counters.notRun;
        else
            ++m_counters.unknown;
    }

    const EntrySettings m_settings;
    const IClock &m_clock;
    const Blackboard &m_board;
    const IConfigurationLease &m_lease;
    EntryCounters m_counters;
    std::atomic<std::size_t> m_runningRequests{ 0 };
    IdempotencyKeyRegistry m_keys;
    SuspectRegistry m_suspects;
    LocalExecutor m_local;
    Forwarder m_forwarder;
    AddressService m_addresses;
};

RequestHandler::RequestHandler(const EntrySettings &settings, const IClock &clock,
                               const Blackboard &board, const IConfigurationLease &lease,
                               TargetClient &client, CellDirectory &cells, IPeerSharing &sharing)
    : m_private(std::make_unique<Private>(settings, clock, board, lease, client, cells, sharing))
{}

RequestHandler::~RequestHandler() = default;

HttpResponse RequestHandler::handle(const HttpRequest &request, const ICaller &caller)
{
    /// Counts a running request; the destructor covers exceptions too.
    struct RunningCounter
    {
        std::atomic<std::size_t> &count;

        explicit RunningCounter(std::atomic<std::size_t> &running)
            : count(running)
        {
            ++count;
        }
        RunningCounter(const RunningCounter &) = delete;
        RunningCounter &operator=(const RunningCounter &) = delete;
        ~RunningCounter() { --count; }
    };
    const RunningCounter counter(m_private->runningRequests());
    return m_private->handle(request, caller);
}

void RequestHandler::beginLeaving()
{
    m_private->addresses().beginLeaving();
}

bool RequestHandler::isIdle() const
{
    return m_private->runningRequests() == 0 && !m_private->addresses().hasLiveTickets();
}

const EntryCounters &RequestHandler::counters() const
{
    return m_private->counters();
}

std::size_t RequestHandler::outcomeEntries() const
{
    return m_private->keys().entryCount();
}

std::size_t RequestHandler::outcomeBytes() const
{
    return m_private->keys().byteCount();
}

std::size_t RequestHandler::suspectCount() const
{
    return m_private->suspects().count();
}

} // namespace lycheebay
