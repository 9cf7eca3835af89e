#include "base/seededrandom.h"
#include "gateway/gateway.h"
#include "gateway/internal/crashmonitor.h"
#include "gateway/lycheebayprotocol.h"
#include "http/httpserialization.h"
#include "http/tests/heapbytes.h"
#include "http/tests/loopfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

using namespace std::chrono_literals;

/// Runs two gateways, one in each of two regions, with callers and targets on the same event loop.
class ForwardingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardingTest);
    CPPUNIT_TEST(homedRequestIsForwardedToItsHomeRegion);
    CPPUNIT_TEST(requestWithoutRoomIsForwarded);
    CPPUNIT_TEST(overflowIsCountedAtBothEnds);
    CPPUNIT_TEST(refusalOfTheOtherDispatcherSaysNotRun);
    CPPUNIT_TEST(rejectionBehindAnotherDispatcherIsNotRetriedOverTheBudget);
    CPPUNIT_TEST(forwardedRequestIsNotForwardedAgain);
    CPPUNIT_TEST(lostAnswerOfAnAtMostOnceRequestIsUnknown);
    CPPUNIT_TEST(statusBehindAnotherDispatcherPromisesNothingAfterARun);
    CPPUNIT_TEST(leavingTargetBehindAnotherDispatcherIsKnownHere);
    CPPUNIT_TEST(suspectRefusedByAnotherDispatcherIsNotRunHere);
    CPPUNIT_TEST(unreachableDispatcherIsBypassed);
    CPPUNIT_TEST(leavingCallerCancelsAForwardedLookup);
    CPPUNIT_TEST(callersStayInTheirRegionByTheShare);
    CPPUNIT_TEST(longNamesOfHostsAreNotKept);
    CPPUNIT_TEST_SUITE_END();

    struct Target
    {
        std::unique_ptr<HttpListener> listener;
        std::string failureDomain;
        bool hangs = false;
        bool rejects = false;
        /// Status of the answers.
        int status = 200;
        std::string phase = "warm";
        int runs = 0;
        int cancelled = 0;
        HttpRequest last;
        int rejections = 0;
        int slots = 3;
        std::vector<IntrusivePtr<HttpExchange>> held;
    };

    struct Answer
    {
        bool received = false;
        TransferResult result = TransferResult::Lost;
        HttpResponse response;
    };

    std::unique_ptr<LoopFixture> m_loop;
    SeededRandom m_random{ 1 };
    LycheebayProtocol m_protocol;
    std::unique_ptr<GatewayBlackboard> m_blackboard;
    std::unique_ptr<GatewayMetrics> m_metrics;
    /// Gateways of the regions "a" and "b".
    std::unique_ptr<Gateway> m_a;
    std::unique_ptr<Gateway> m_b;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::vector<IntrusivePtr<HttpClientConnection>> m_callers;

    std::unique_ptr<Gateway> makeGateway(const std::string &region)
    {
        GatewaySettings settings;
        settings.instanceId = region;
        settings.region = region;
        settings.failureDomain = region + "1";
        settings.regions = { { "a1", "a" }, { "b1", "b" }, { "b2", "b" } };
        settings.retryBudget = { 0.2, 100, 10s };
        auto gateway =
                std::make_unique<Gateway>(m_loop->context, m_loop->timers, m_loop->clock, m_random,
                                          m_protocol, *m_blackboard, *m_metrics, settings);
        CPPUNIT_ASSERT(gateway->start({ "127.0.0.1", 0 }).ok());
        return gateway;
    }

    void handleAtTarget(Target &target, const IntrusivePtr<HttpExchange> &exchange)
    {
        HttpResponse response = jsonResponse(200, target.failureDomain);
        response.headers.push_back(
                { "Lycheebay-Load", "inflight=0;slots=3;phase=" + target.phase + ";start=1" });
        if (exchange->request().path() == "/health") {
            exchange->respond(response);
            return;
        }
        if (target.rejects) {
            ++target.rejections;
            response.status = 503;
            response.headers.push_back({ "Lycheebay-Not-Run", "1" });
            exchange->respond(response);
            return;
        }
        ++target.runs;
        target.last = exchange->request();
        response.status = target.status;
        if (!target.hangs) {
            exchange->respond(response);
            return;
        }
        exchange->onCallerGone([&target] { ++target.cancelled; });
        target.held.push_back(exchange);
    }

    Target &addTarget(const std::string &failureDomain, bool hangs = false)
    {
        m_targets.push_back(std::make_unique<Target>());
        Target &target = *m_targets.back();
        target.failureDomain = failureDomain;
        target.hangs = hangs;
        target.listener = std::make_unique<HttpListener>(
                m_loop->context, m_loop->timers, m_loop->clock,
                [this, &target](const IntrusivePtr<HttpExchange> &it) {
                    handleAtTarget(target, it);
                });
        CPPUNIT_ASSERT(target.listener->start({ "127.0.0.1", 0 }).ok());
        return target;
    }

    void publishTargets()
    {
        auto list = makeRef<TargetList>();
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            TargetRecord it;
            it.id = "t" + std::to_string(i);
            it.service = "s";
            it.address = { "127.0.0.1", m_targets[i]->listener->port() };
            it.failureDomain = m_targets[i]->failureDomain;
            it.slots = m_targets[i]->slots;
            list->targets.push_back(it);
        }
        m_blackboard->targets.publish(IntrusivePtr<const TargetList>(list));
    }

    void publishInstances(const Address &b)
    {
        auto list = makeRef<InstanceList>();
        list->instances = { { "a", { "127.0.0.1", m_a->port() }, "a1" }, { "b", b, "b1" } };
        m_blackboard->instances.publish(IntrusivePtr<const InstanceList>(list));
    }
    void publishInstances() { publishInstances({ "127.0.0.1", m_b->port() }); }

    void publishConfiguration()
    {
        auto configuration = makeRef<GatewayConfiguration>();
        configuration->version = 1;
        Route lookup;
        lookup.name = "lookup";
        lookup.pathPrefix = "/lookup/";
        lookup.services = { { "s", 1 } };
        lookup.executionSemantics = ExecutionSemantics::Idempotent;
        lookup.timeout = 5s;
        lookup.targetLatency = 2s;
        lookup.maxAttempts = 2;
        Route order = lookup;
        order.name = "order";
        order.pathPrefix = "/order/";
        order.executionSemantics = ExecutionSemantics::AtMostOnce;
        order.homeRegions = { "b" };
        configuration->hosts = { { "h", { lookup, order } } };
        ServiceProperties service;
        service.name = "s";
        service.healthPath = "/health";
        service.coldRequestsPerSecond = 100;
        configuration->services = { service };
        m_blackboard->configuration.publish(
                IntrusivePtr<const GatewayConfiguration>(configuration));
    }

    std::shared_ptr<Answer> sendToA(const std::string &path, const std::string &method = "GET")
    {
        auto answer = std::make_shared<Answer>();
        auto caller = makeRef<HttpClientConnection>(m_loop->context, m_loop->timers, m_loop->clock,
                                                    Address{ "127.0.0.1", m_a->port() },
                                                    ClientConnectionOptions());
        const HttpRequest request{ method,
                                   path,
                                   { { "Host", "h" }, { "Lycheebay-Deadline-Ms", "4000" } },
                                   method == "POST" ? "body" : "" };
        caller->send(serializeRequest(request), false, nullptr,
                     [answer](TransferResult result, HttpResponse response) {
                         *answer = { true, result, std::move(response) };
                     });
        m_callers.push_back(caller);
        return answer;
    }

    HttpResponse waitForResponse(const std::shared_ptr<Answer> &answer)
    {
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return answer->received; }));
        CPPUNIT_ASSERT(answer->result == TransferResult::Answered);
        return answer->response;
    }

    /// Occupies the slots that are used of the targets behind gateway A.
    void fillA(const Target &target, int slots)
    {
        for (int i = 0; i < slots; ++i) {
            sendToA("/lookup/held");
            CPPUNIT_ASSERT(m_loop->runUntil([&] { return target.runs == i + 1; }));
        }
    }

public:
    void setUp() override
    {
        m_loop = std::make_unique<LoopFixture>();
        m_blackboard = std::make_unique<GatewayBlackboard>();
        m_metrics = std::make_unique<GatewayMetrics>();
        m_a = makeGateway("a");
        m_b = makeGateway("b");
    }

    void tearDown() override
    {
        for (const auto &it : m_callers)
            it->close();
        m_callers.clear();
        m_a.reset();
        m_b.reset();
        for (const auto &it : m_targets)
            it->held.clear();
        m_targets.clear();
        m_blackboard.reset();
        m_loop.reset();
    }

    void homedRequestIsForwardedToItsHomeRegion()
    {
        const Target &here = addTarget("a1");
        const Target &home = addTarget("b1");
        publishTargets();
        publishInstances();
        publishConfiguration();
        const HttpResponse response = waitForResponse(sendToA("/order/1", "POST"));
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("b1"), response.body);
        CPPUNIT_ASSERT_EQUAL(0, here.runs);
        CPPUNIT_ASSERT_EQUAL(1, home.runs);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), home.last.body);
        CPPUNIT_ASSERT(!findHeader(home.last.headers, "Lycheebay-Forwarded"));
        CPPUNIT_ASSERT(
                m_metrics->render().find("lycheebay_gateway_forwards_total{result=\"accepted\"} 1")
                != std::string::npos);
    }

    // Fails if requests are refused although targets of another region have free slots.
    void requestWithoutRoomIsForwarded()
    {
        const Target &here = addTarget("a1", true);
        Target &there = addTarget("b1");
        publishTargets();
        publishInstances();
        publishConfiguration();
        fillA(here, 2);
        // Enough for an expected wait beyond the objective.
        std::vector<std::shared_ptr<Answer>> answers;
        for (int i = 0; i < 12; ++i)
            answers.push_back(sendToA("/lookup/1"));
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return there.runs > 0; }));
        CPPUNIT_ASSERT(m_loop->runUntil([&] {
            return std::any_of(answers.begin(), answers.end(), [](const auto &it) {
                return it->received && it->response.status == 200 && it->response.body == "b1";
            });
        }));
    }

    void overflowIsCountedAtBothEnds()
    {
        int received = 0;
        int sent = 0;
        m_blackboard->overflow.subscribe([&](const IntrusivePtr<const OverflowCounts> &it) {
            for (const RegionOverflow &region : it->regions) {
                received += region.region == "a" ? region.received : 0;
                sent += region.region == "b" ? region.sent : 0;
            }
        });
        requestWithoutRoomIsForwarded();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return received > 0 && received == sent; }));
    }

    // A refusal promises that the request did not run.
    void refusalOfTheOtherDispatcherSaysNotRun()
    {
        const Target &here = addTarget("a1");
        publishTargets();
        publishConfiguration();
        // Another instance owns a target that it does not reach.
        Target &gone = addTarget("b1");
        publishTargets();
        publishInstances();
        gone.listener->stopAccepting();
        gone.listener->closeAll();
        const HttpResponse response = waitForResponse(sendToA("/order/1", "POST"));
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(findHeader(response.headers, "Retry-After"));
        CPPUNIT_ASSERT(!findHeader(response.headers, "Lycheebay-Forward-Outcome"));
        CPPUNIT_ASSERT_EQUAL(0, here.runs + gone.runs);
    }

    void rejectionBehindAnotherDispatcherIsNotRetriedOverTheBudget()
    {
        Target &target = addTarget("b1");
        target.rejects = true;
        // Dispatchers are drawn in proportion to their slots.
        target.slots = 3000;
        addTarget("b2");
        int retries = 0;
        HttpListener other(m_loop->context, m_loop->timers, m_loop->clock,
                           [&](const IntrusivePtr<HttpExchange> &it) {
                               ++retries;
                               it->respond(jsonResponse(200, "other"));
                           });
        CPPUNIT_ASSERT(other.start({ "127.0.0.1", 0 }).ok());
        publishTargets();
        auto list = makeRef<InstanceList>();
        list->instances = { { "a", { "127.0.0.1", m_a->port() }, "a1" },
                            { "b", { "127.0.0.1", m_b->port() }, "b1" },
                            { "c", { "127.0.0.1", other.port() }, "b2" } };
        m_blackboard->instances.publish(IntrusivePtr<const InstanceList>(list));
        publishConfiguration();
        const RetryBudget none{ 0, 0, 10s };
        m_a->updateSettings(none, 6s);
        m_b->updateSettings(none, 6s);
        const HttpResponse response = waitForResponse(sendToA("/order/1", "POST"));
        CPPUNIT_ASSERT_EQUAL(1, target.rejections);
        CPPUNIT_ASSERT_EQUAL(0, retries);
        CPPUNIT_ASSERT_EQUAL(503, response.status);
    }

    // Fails if instances with different views pass a request back and forth.
    void forwardedRequestIsNotForwardedAgain()
    {
        int received = 0;
        HttpListener other(m_loop->context, m_loop->timers, m_loop->clock,
                           [&](const IntrusivePtr<HttpExchange> &it) {
                               ++received;
                               it->respond(jsonResponse(200, "other"));
                           });
        CPPUNIT_ASSERT(other.start({ "127.0.0.1", 0 }).ok());
        addTarget("b1");
        publishTargets();
        publishInstances({ "127.0.0.1", other.port() });
        publishConfiguration();
        auto answer = std::make_shared<Answer>();
        auto caller = makeRef<HttpClientConnection>(m_loop->context, m_loop->timers, m_loop->clock,
                                                    Address{ "127.0.0.1", m_a->port() },
                                                    ClientConnectionOptions());
        const HttpRequest request{
            "POST", "/order/1", { { "Host", "h" }, { "Lycheebay-Forwarded", "-" } }, "body"
        };
        caller->send(serializeRequest(request), false, nullptr,
                     [answer](TransferResult result, HttpResponse response) {
                         *answer = { true, result, std::move(response) };
                     });
        m_callers.push_back(caller);
        waitForResponse(answer);
        CPPUNIT_ASSERT_EQUAL(0, received);
    }

    // Fails if "not run" is said of a request that another instance may have passed on.
    void lostAnswerOfAnAtMostOnceRequestIsUnknown()
    {
        std::vector<IntrusivePtr<HttpExchange>> held;
        HttpListener other(m_loop->context, m_loop->timers, m_loop->clock,
                           [&](const IntrusivePtr<HttpExchange> &it) { held.push_back(it); });
        CPPUNIT_ASSERT(other.start({ "127.0.0.1", 0 }).ok());
        addTarget("b1");
        publishTargets();
        publishInstances({ "127.0.0.1", other.port() });
        publishConfiguration();
        const auto answer = sendToA("/order/1", "POST");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return held.size() == 1; }));
        other.closeAll();
        CPPUNIT_ASSERT_EQUAL(502, waitForResponse(answer).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, held.size());
        held.clear();
    }

    // Guards against a status that promises "not run" and comes through another instance, which may
    // be of an earlier version and pass it on.
    void statusBehindAnotherDispatcherPromisesNothingAfterARun()
    {
        Target &home = addTarget("b1");
        home.status = 503;
        publishTargets();
        publishConfiguration();
        publishInstances();
        CPPUNIT_ASSERT_EQUAL(502, waitForResponse(sendToA("/order/1", "POST")).status);
        CPPUNIT_ASSERT_EQUAL(1, home.runs);
        HttpListener other(
                m_loop->context, m_loop->timers, m_loop->clock,
                [](const IntrusivePtr<HttpExchange> &it) { it->respond(jsonResponse(429, "{}")); });
        CPPUNIT_ASSERT(other.start({ "127.0.0.1", 0 }).ok());
        publishInstances({ "127.0.0.1", other.port() });
        CPPUNIT_ASSERT_EQUAL(502, waitForResponse(sendToA("/order/1", "POST")).status);
    }

    // Guards against an instance that passes on the answer of a leaving target and sends it
    // requests of its own later.
    void leavingTargetBehindAnotherDispatcherIsKnownHere()
    {
        Target &home = addTarget("b1");
        publishTargets();
        publishInstances();
        publishConfiguration();
        int reports = 0;
        m_blackboard->reports.subscribe([&](const IntrusivePtr<const InstanceReport> &it) {
            reports += it->leavingTargets == std::vector<std::string>{ "t0@0" } ? 1 : 0;
        });
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendToA("/order/1", "POST")).status);
        home.phase = "draining";
        const HttpResponse response = waitForResponse(sendToA("/order/2", "POST"));
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT(!findHeader(response.headers, "Lycheebay-Leaving-Target"));
        // One of each instance.
        CPPUNIT_ASSERT_EQUAL(2, reports);
    }

    void suspectRefusedByAnotherDispatcherIsNotRunHere()
    {
        // Gateway A starts after the report.
        m_a.reset();
        m_b.reset();
        m_blackboard = std::make_unique<GatewayBlackboard>();
        m_b = makeGateway("b");
        const HttpRequest suspect{ "GET", "/lookup/1", { { "Host", "h" } }, {} };
        auto report = makeRef<InstanceReport>();
        report->crashSuspects = { { fingerprintOf(suspect), 2, 30s, {} } };
        m_blackboard->peerReports.publish(IntrusivePtr<const InstanceReport>(report));
        m_a = makeGateway("a");
        Target &here = addTarget("a1", true);
        addTarget("b1");
        publishConfiguration();
        publishTargets();
        publishInstances();
        fillA(here, 2);
        const int runs = here.runs;
        const HttpResponse response = waitForResponse(sendToA("/lookup/1"));
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(std::stod(*findHeader(response.headers, "Retry-After")) > 10);
        CPPUNIT_ASSERT_EQUAL(runs, here.runs);
    }

    // A dispatcher that died stays in the list of instances for seconds, while its targets serve.
    void unreachableDispatcherIsBypassed()
    {
        const Target &home = addTarget("b1");
        publishTargets();
        publishConfiguration();
        HttpListener other(m_loop->context, m_loop->timers, m_loop->clock, [](const auto &) {});
        CPPUNIT_ASSERT(other.start({ "127.0.0.1", 0 }).ok());
        publishInstances({ "127.0.0.1", other.port() });
        other.stopAccepting();
        const HttpResponse response = waitForResponse(sendToA("/order/1", "POST"));
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(1, home.runs);
    }

    void leavingCallerCancelsAForwardedLookup()
    {
        const Target &here = addTarget("a1", true);
        Target &there = addTarget("b1", true);
        publishTargets();
        publishInstances();
        publishConfiguration();
        fillA(here, 2);
        for (int i = 0; i < 12; ++i)
            sendToA("/lookup/1");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return there.runs > 0; }));
        for (const auto &it : m_callers)
            it->close();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return there.cancelled == there.runs; }));
    }

    void callersStayInTheirRegionByTheShare()
    {
        addTarget("a1");
        addTarget("b1");
        publishTargets();
        publishInstances();
        publishConfiguration();
        const Address here{ "127.0.0.1", m_a->port() };
        const auto staying = [&] {
            int n = 0;
            for (int i = 0; i < 1000; ++i) {
                const auto addresses = m_a->addressesFor({ "h", "a1", "a" });
                CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, addresses.size());
                n += addresses.front() == here ? 1 : 0;
            }
            return n;
        };
        CPPUNIT_ASSERT_EQUAL(0, staying());
        auto shares = makeRef<LocalShares>();
        shares->shares = { { "b", 0.5 } };
        m_blackboard->localShares.publish(IntrusivePtr<const LocalShares>(shares));
        const int half = staying();
        CPPUNIT_ASSERT(half > 400 && half < 600);
        // Callers of the home region are not affected.
        const auto atHome = m_b->addressesFor({ "h", "b1", "b" });
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, atHome.size());
        CPPUNIT_ASSERT_EQUAL(m_b->port(), atHome.front().port);
    }

    // Callers choose the names. The bound is that of the cache: 1,000 queries of half a kilobyte,
    // and their addresses.
    void longNamesOfHostsAreNotKept()
    {
        addTarget("a1");
        publishTargets();
        publishInstances();
        publishConfiguration();
        const std::size_t heapAtStart = heapBytes();
        for (int i = 0; i < 2000; ++i) {
            const std::string name = std::to_string(i) + std::string(16'000, 'h');
            CPPUNIT_ASSERT(!m_a->addressesFor({ name, "a1", "a" }).empty());
        }
        CPPUNIT_ASSERT(heapBytes() < heapAtStart + (2UL << 20U));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingTest);

} // namespace lycheebay
