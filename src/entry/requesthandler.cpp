#include "entry/requesthandler.h"

#include "entry/internal/addressservice.h"
#include "entry/internal/forwarder.h"
#include "entry/internal/keyregister.h"
#include "entry/internal/localrunner.h"
#include "transport/loadheader.h"
#include "transport/problem.h"

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kAddressesPath = "/v1/addresses";
constexpr int kOutsideHomeRegions = 421;
constexpr std::chrono::seconds kFullRetryAfter{ 5 };

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
        const TimePoint began = m_clock.now();
        auto built = buildContext(request, caller, m_settings, m_board, began);
        if (const auto *refusal = std::get_if<Refusal>(&built)) {
            ++(refusal->status == kOutsideHomeRegions ? m_counters.outsideHomeRegions
                                                      : m_counters.notRun);
            return problemResponse(mayHaveRunBefore(request) ? "unknown" : "not-run", *refusal);
        }
        RequestContext &context = std::get<RequestContext>(built);
        const Outcome outcome = decide(context);
        count(outcome);
        HttpResponse response = renderOutcome(outcome);
        m_counters.added.record(m_clock.now() - began - context.upstream);
        return response;
    }

    KeyRegister &keys() { return m_keys; }
    SuspectRegistry &suspects() { return m_suspects; }
    AddressService &addresses() { return m_addresses; }
    const EntryCounters &counters() const { return m_counters; }
    std::atomic<std::size_t> &running() { return m_running; }

private:
    Outcome decide(RequestContext &context)
    {
        // A known key is answered from the table whatever the lease says: a repeat is no new work,
        // and "not run" about it would be false.
        if (!context.key)
            return execute(context);
        if (context.key->ticket.incarnation == m_settings.self.incarnation)
            return runOnce(context);
        // The forwarding entry keeps the table of its key and sends the request only once.
        if (context.origin != RequestOrigin::Caller)
            return execute(context);
        return passToIssuer(context);
    }

    /// The only place where a key of this incarnation starts to run.
    Outcome runOnce(RequestContext &context)
    {
        const RequestIdentity identity = identifyRequest(context.request, context.tenant);
        const KeyDecision decision = m_keys.begin(*context.key, identity, context.deadline);
        if (decision.state != KeyState::Run)
            return known(decision);
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

    Outcome known(const KeyDecision &decision)
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
            ++m_counters.tableFull;
            return NotRun{ { 503, "too many keys to remember", kFullRetryAfter } };
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

    /// Only the entry that the ticket names knows what became of its keys.
    Outcome passToIssuer(RequestContext &context)
    {
        const Member *issuer = context.plan->findIncarnation(context.key->ticket.incarnation);
        if (issuer && issuer->identity.region == m_settings.self.region) {
            if (const auto outcome = m_forwarder.forward(context, *issuer))
                return *outcome;
        }
        return Unknown{ { 409, "the ticket is of another instance", {} } };
    }

    /// A repeat of a key that ran must not be told "not run", whatever refuses it before the table
    /// is asked.
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
            ++m_counters.unattested;
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

    void count(const Outcome &outcome)
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
    std::atomic<std::size_t> m_running{ 0 };
    KeyRegister m_keys;
    SuspectRegistry m_suspects;
    LocalRunner m_local;
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
    /// Counts the request also when it ends by an exception.
    struct Running
    {
        std::atomic<std::size_t> &count;

        explicit Running(std::atomic<std::size_t> &running)
            : count(running)
        {
            ++count;
        }
        Running(const Running &) = delete;
        Running &operator=(const Running &) = delete;
        ~Running() { --count; }
    };
    const Running running(m_private->running());
    return m_private->handle(request, caller);
}

void RequestHandler::beginLeaving()
{
    m_private->addresses().beginLeaving();
}

bool RequestHandler::idle() const
{
    return m_private->running() == 0 && !m_private->addresses().hasLiveTickets();
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
