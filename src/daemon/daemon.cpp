#include "daemon/daemon.h"

#include "base/invariant.h"
#include "base/log.h"
#include "base/seededrandom.h"
#include "base/systemclock.h"
#include "daemon/adminapi.h"
#include "daemon/configurationservice.h"
#include "daemon/metricsexport.h"
#include "daemon/peersharing.h"
#include "entry/requesthandler.h"
#include "platform/httpplatform.h"
#include "transport/asiotimerservice.h"
#include "transport/httpserver.h"
#include "transport/peernode.h"
#include "transport/peertransport.h"

#include <algorithm>
#include <thread>

namespace lycheebay {

namespace {

constexpr std::chrono::milliseconds kIdlePause{ 50 };
/// Peers are told of the leave by heartbeats, which go out every 500 ms.
constexpr std::chrono::seconds kLeaveAnnouncement{ 1 };

RosterMember identityOf(const Settings &settings)
{
    RosterMember self;
    self.instanceId = settings.instanceId;
    self.incarnation = systemRandomBits() | 1;
    self.region = settings.region;
    self.failureDomain = settings.failureDomain;
    self.http = settings.listen;
    self.peer = settings.peerListen;
    return self;
}

EntrySettings entrySettingsOf(const Settings &settings, const RosterMember &self)
{
    EntrySettings entry;
    entry.self = { self.instanceId, self.incarnation, self.region, self.failureDomain };
    entry.dispatcher = settings.dispatcher;
    entry.outcomes.maxEntries = static_cast<std::size_t>(settings.maxOutcomes);
    entry.outcomes.maxBytes = static_cast<std::size_t>(settings.maxOutcomeBytes);
    entry.outcomes.ticketLife = settings.ticketLife;
    entry.outcomes.retention = settings.ticketLife + settings.outcomeRetention;
    entry.defaultDeadline = settings.defaultDeadline;
    entry.maxDeadline = settings.maxDeadline;
    entry.addressTtl = settings.addressTtl;
    entry.spillBytesPerSecond = settings.spillBytesPerSecond;
    entry.seed = self.incarnation;
    return entry;
}

HttpServerSettings httpServerSettingsOf(const Settings &settings)
{
    HttpServerSettings server;
    server.listen = settings.listen;
    server.maxConnections = static_cast<std::size_t>(settings.maxConnections);
    server.idleTimeout = settings.idleTimeout;
    server.maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes);
    server.maxMessageBytes = static_cast<std::size_t>(settings.maxMessageBytes);
    return server;
}

PeerTransportSettings transportSettingsOf(const Settings &settings)
{
    PeerTransportSettings transport;
    transport.bind = settings.peerListen;
    transport.seed = systemRandomBits();
    return transport;
}

LeaseSettings leaseSettingsOf(const Settings &settings)
{
    LeaseSettings lease;
    lease.inStoreRegion = settings.region == settings.storeRegion;
    lease.whenUnattested =
            settings.serveWhenUnattested ? WhenUnattested::Serve : WhenUnattested::Refuse;
    return lease;
}

HttpPlatformSettings platformSettingsOf(const Settings &settings)
{
    HttpPlatformSettings platform;
    platform.address = settings.platform;
    platform.connectTimeout = settings.platformTimeout;
    platform.responseTimeout = settings.platformTimeout;
    return platform;
}

TargetClientSettings clientSettingsOf(const Settings &settings)
{
    TargetClientSettings client;
    client.maxConnectionsPerTarget = static_cast<std::size_t>(settings.maxConnectionsPerTarget);
    return client;
}

} // namespace

/// Members are declared in the order in which they depend on each other; they end in reverse.
class Daemon::Private
{
public:
    explicit Private(Settings settings)
        : m_settings(std::move(settings))
        , m_self(identityOf(m_settings))
        , m_platform(platformSettingsOf(m_settings))
        , m_follower(m_board.configuration)
        , m_lease(leaseSettingsOf(m_settings), m_clock.now())
        , m_sharing(m_board, m_clock)
        , m_transport(m_ioThread, transportSettingsOf(m_settings))
        , m_node(nodeSettings(), m_clock, m_transport, m_follower, m_lease, nodeCallbacks())
        , m_configuration(m_settings, m_self, m_platform, m_platform, m_follower, m_lease, m_board,
                          m_clock)
        , m_client(clientSettingsOf(m_settings))
        , m_cells(m_board, entrySettingsOf(m_settings, m_self), m_clock, m_sharing, m_client)
        , m_handler(entrySettingsOf(m_settings, m_self), m_clock, m_board, m_lease, m_client,
                    m_cells, m_sharing)
        , m_admin(adminSources())
        , m_httpServer(httpServerSettingsOf(m_settings),
                       [this](const HttpRequest &request, const ICaller &caller) {
                           return answer(request, caller);
                       })
    {
        m_sharing.setNode(&m_node);
        m_board.plan.publish(m_node.plan());
        m_board.platform.publish(makeRef<const PlatformView>(std::vector<PlatformInstance>{}));
    }

    ~Private()
    {
        m_httpServer.stop();
        m_node.stop();
        m_sharing.setNode(nullptr);
    }

    absl::Status start()
    {
        m_board.configuration.subscribe([this](const Topic<ConfigurationState>::Value &state) {
            m_node.setConfiguration(state->roster(), state->nextOffset());
        });
        m_node.setSeeds(m_settings.peers);
        if (absl::Status status = m_node.start(m_timers); !status.ok())
            return status;
        m_cells.start(m_timers);
        m_configuration.start([this](const PlatformView &view) { takeInstanceList(view); });
        return m_httpServer.start();
    }

    void leave()
    {
        m_leaving = true;
        m_handler.beginLeaving();
        m_node.setLeaving(true);
        const TimePoint began = m_clock.now();
        // Callers may use an address answer until its time to live ends.
        const TimePoint earliest =
                began + std::max<Duration>(m_settings.addressTtl, kLeaveAnnouncement);
        const TimePoint latest = began + m_settings.leaveTimeout;
        while (m_clock.now() < latest && (m_clock.now() < earliest || !m_handler.isIdle()))
            std::this_thread::sleep_for(kIdlePause);
        if (!m_handler.isIdle())
            LOG4CPLUS_WARN(componentLogger("daemon"), "left with tickets or requests outstanding");
        m_httpServer.stop();
        m_configuration.leave();
    }

private:
    PeerNodeSettings nodeSettings() const
    {
        PeerNodeSettings node;
        node.self = m_self;
        node.startedAtMs = m_clock.wallNow().time_since_epoch().count();
        return node;
    }

    PeerNodeCallbacks nodeCallbacks()
    {
        PeerNodeCallbacks callbacks;
        callbacks.planChanged = [this](const IntrusivePtr<const CellPlan> &) {
            m_board.plan.publish(m_node.plan());
        };
        callbacks.removeMember = [this](const RosterMember &member) {
            m_configuration.removeMember(member);
        };
        callbacks.verdictsReceived = [this](const std::vector<TargetVerdict> &verdicts) {
            m_sharing.receiveVerdicts(verdicts);
        };
        callbacks.crashSuspectsReceived = [this](const std::vector<SharedCrashSuspect> &suspects) {
            m_sharing.receiveSuspects(suspects);
        };
        return callbacks;
    }

    AdminSources adminSources()
    {
        AdminSources sources;
        sources.status = [this] { return status(); };
        sources.metrics = [this] { return metrics(); };
        sources.board = &m_board;
        sources.incarnation = m_self.incarnation;
        sources.configuration = &m_configuration;
        return sources;
    }

    /// The list shows targets and entries; what is no target of the estate is a peer.
    void takeInstanceList(const PlatformView &view)
    {
        const auto estate = m_board.configuration.read()->estate();
        std::vector<Address> seeds = m_settings.peers;
        StringSet leaving;
        for (const PlatformInstance &instance : view.instances()) {
            if (estate->findTarget(instance.id) || instance.id == m_self.instanceId)
                continue;
            seeds.push_back(instance.address);
            if (instance.state == InstanceState::Leaving)
                leaving.insert(instance.id);
        }
        m_node.setSeeds(std::move(seeds));
        m_node.setPlatformLeaving(leaving);
    }

    HttpResponse answer(const HttpRequest &request, const ICaller &caller)
    {
        if (const auto response = m_admin.handle(request))
            return *response;
        return m_handler.handle(request, caller);
    }

    StatusReport status() const
    {
        StatusReport report;
        report.self = m_self;
        report.leaving = m_leaving;
        report.leaseValid = m_lease.isValid(m_clock.now());
        report.now = m_clock.wallNow();
        report.configuration = m_board.configuration.read();
        report.plan = m_board.plan.read();
        report.ready = report.leaseValid && !m_leaving && report.configuration->revision() > 0
                       && report.plan->findIncarnation(m_self.incarnation)
                       && !report.configuration->estate()->data().services.empty()
                       && (m_settled || m_cells.isHandoverComplete());
        // Later handovers do not make an instance unready: known targets are served during them.
        if (report.ready)
            m_settled = true;
        report.cells = m_cells.cells();
        report.peers = m_node.peers();
        report.openConnections = m_httpServer.counters().openConnections;
        report.outcomeEntries = m_handler.outcomeEntries();
        report.outcomeBytes = m_handler.outcomeBytes();
        report.crashSuspects = m_handler.suspectCount();
        report.invariantViolations = invariantViolations();
        return report;
    }

    std::string metrics() const
    {
        MetricsBuilder builder;
        addEntryMetrics(builder, m_handler.counters());
        addHttpMetrics(builder, m_httpServer.counters());
        addPeerMetrics(builder, m_node.traffic());
        addCellMetrics(builder, m_cells);
        StatusReport report = status();
        builder.gauge("lycheebay_ready", "1 while this instance is ready.", report.ready);
        builder.gauge("lycheebay_lease_valid", "1 while the configuration is attested.",
                      m_lease.isAttested(m_clock.now()));
        builder.gauge("lycheebay_peers_alive", "Other entry instances that are alive.",
                      static_cast<double>(std::count_if(report.peers.begin(), report.peers.end(),
                                                        [](const PeerStatus &peer) {
                                                            return peer.state == MemberState::Alive;
                                                        })));
        builder.gauge("lycheebay_crash_suspects", "Requests suspected of crashing targets.",
                      static_cast<double>(report.crashSuspects));
        builder.gauge("lycheebay_configuration_revision", "Offset of the last accepted change.",
                      static_cast<double>(report.configuration->revision()));
        builder.gauge("lycheebay_outcome_entries", "Idempotency keys held.",
                      static_cast<double>(report.outcomeEntries));
        builder.gauge("lycheebay_outcome_bytes", "Bytes of idempotency keys and responses held.",
                      static_cast<double>(report.outcomeBytes));
        builder.counter("lycheebay_invariant_violations_total", "Invariants found violated.",
                        static_cast<double>(report.invariantViolations));
        return builder.render();
    }

    const Settings m_settings;
    const SystemClock m_clock;
    const RosterMember m_self;
    Blackboard m_board;
    HttpPlatform m_platform;
    ConfigurationFollower m_follower;
    ConfigurationLease m_lease;
    AsioTimerService m_timers;
    IoThread m_ioThread;
    PeerSharing m_sharing;
    PeerTransport m_transport;
    PeerNode m_node;
    ConfigurationService m_configuration;
    TargetClient m_client;
    CellDirectory m_cells;
    RequestHandler m_handler;
    AdminApi m_admin;
    HttpServer m_httpServer;
    std::atomic<bool> m_leaving{ false };
    mutable std::atomic<bool> m_settled{ false };
};

Daemon::Daemon(Settings settings)
    : m_private(std::make_unique<Private>(std::move(settings)))
{}

Daemon::~Daemon() = default;

absl::Status Daemon::start()
{
    return m_private->start();
}

void Daemon::leave()
{
    m_private->leave();
}

} // namespace lycheebay
