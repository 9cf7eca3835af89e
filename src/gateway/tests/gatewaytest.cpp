#include "gateway/gateway.h"
#include "base/seededrandom.h"
#include "gateway/lycheebayprotocol.h"
#include "http/httpserialization.h"
#include "http/tests/loopfixture.h"

#include <asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace lycheebay {

using namespace std::chrono_literals;

/// The gateway's request path with targets and callers on the same event loop.
class GatewayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(requestReachesATargetUnchanged);
    CPPUNIT_TEST(withoutConfigurationNothingHasRun);
    CPPUNIT_TEST(unknownRouteIsRejected);
    CPPUNIT_TEST(shedRequestGoesToAnotherTarget);
    CPPUNIT_TEST(lostIdempotentRequestIsSentAgain);
    CPPUNIT_TEST(lostOrderIsNotSentAgain);
    CPPUNIT_TEST(orderThatCouldNotBeSentHasNotRun);
    CPPUNIT_TEST(slowAnswerIsOvertakenByASecondTarget);
    CPPUNIT_TEST(runningRequestIsNotCutForAnUnusualWait);
    CPPUNIT_TEST(timeoutOfTheRouteIsAnswered);
    CPPUNIT_TEST(callerThatLeavesCancelsItsLookup);
    CPPUNIT_TEST(orderOfACallerThatLeftRunsOn);
    CPPUNIT_TEST(leavingInstanceFinishesAndThenEnds);
    CPPUNIT_TEST(leavingInstanceDoesNotWaitForTheTargetList);
    CPPUNIT_TEST_SUITE_END();

    enum class Behaviour { Answer, Shed, Lose, Hang, SlowAnswer };

    /// A target that keeps its rule while a test may change it.
    struct Target
    {
        std::unique_ptr<HttpListener> listener;
        Behaviour behaviour = Behaviour::Answer;
        Duration delay{};
        int runs = 0;
        int cancelled = 0;
        HttpRequest last;
        std::vector<IntrusivePtr<HttpExchange>> kept;
        std::vector<TimerSubscription> timers;
    };

    struct Answer
    {
        bool came = false;
        TransferResult result = TransferResult::Lost;
        HttpResponse response;
    };

    std::unique_ptr<LoopFixture> m_loop;
    std::unique_ptr<SeededRandom> m_random;
    std::unique_ptr<GatewayBlackboard> m_blackboard;
    std::unique_ptr<GatewayMetrics> m_metrics;
    std::unique_ptr<Gateway> m_gateway;
    LycheebayProtocol m_protocol;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::vector<IntrusivePtr<HttpClientConnection>> m_callers;

    void handleAtTarget(Target &target, const IntrusivePtr<HttpExchange> &exchange)
    {
        const HttpResponse load = loadResponse();
        if (exchange->request().path() == "/health") {
            exchange->respond(load);
            return;
        }
        target.last = exchange->request();
        HttpResponse response = load;
        switch (target.behaviour) {
        case Behaviour::Shed:
            response.status = 503;
            response.headers.push_back({ "Lycheebay-Not-Run", "1" });
            exchange->respond(response);
            return;
        case Behaviour::Lose:
            ++target.runs;
            asio::post(m_loop->context, [&target] { target.listener->closeAll(); });
            target.kept.push_back(exchange);
            return;
        case Behaviour::Hang:
            ++target.runs;
            exchange->onCallerGone([&target] { ++target.cancelled; });
            target.kept.push_back(exchange);
            return;
        case Behaviour::SlowAnswer:
            ++target.runs;
            exchange->onCallerGone([&target] { ++target.cancelled; });
            target.timers.push_back(m_loop->timers.after(
                    target.delay, [exchange, response] { exchange->respond(response); }));
            return;
        case Behaviour::Answer:
            ++target.runs;
            exchange->respond(response);
            return;
        }
    }

    static HttpResponse loadResponse()
    {
        HttpResponse response = jsonResponse(200, R"({"by":"target"})");
        response.headers.push_back({ "Lycheebay-Load", "inflight=0;slots=3;phase=warm;start=1" });
        return response;
    }

    Target &addTarget(Behaviour behaviour)
    {
        m_targets.push_back(std::make_unique<Target>());
        Target &target = *m_targets.back();
        target.behaviour = behaviour;
        target.listener = std::make_unique<HttpListener>(
                m_loop->context, m_loop->timers, m_loop->clock,
                [this, &target](const IntrusivePtr<HttpExchange> &it) {
                    handleAtTarget(target, it);
                });
        CPPUNIT_ASSERT(target.listener->start({ "127.0.0.1", 0 }).ok());
        publishTargets();
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
            it.failureDomain = "d";
            it.slots = 3;
            list->targets.push_back(it);
        }
        m_blackboard->targets.publish(IntrusivePtr<const TargetList>(list));
    }

    void publishConfiguration(Duration timeout = 2s, Duration latency = 400ms)
    {
        auto configuration = makeRef<GatewayConfiguration>();
        configuration->version = 1;
        Route lookup;
        lookup.name = "lookup";
        lookup.pathPrefix = "/lookup/";
        lookup.services = { { "s", 1 } };
        lookup.executionSemantics = ExecutionSemantics::Idempotent;
        lookup.timeout = timeout;
        lookup.targetLatency = latency;
        lookup.maxAttempts = 2;
        Route order = lookup;
        order.name = "order";
        order.pathPrefix = "/order/";
        order.executionSemantics = ExecutionSemantics::AtMostOnce;
        configuration->hosts = { { "h", { lookup, order } } };
        ServiceProperties service;
        service.name = "s";
        service.healthPath = "/health";
        service.coldRequestsPerSecond = 100;
        configuration->services = { service };
        m_blackboard->configuration.publish(
                IntrusivePtr<const GatewayConfiguration>(configuration));
    }

    std::shared_ptr<Answer> ask(const std::string &path, const std::string &method = "GET",
                                const std::string &body = {})
    {
        auto answer = std::make_shared<Answer>();
        auto caller = makeRef<HttpClientConnection>(m_loop->context, m_loop->timers, m_loop->clock,
                                                    Address{ "127.0.0.1", m_gateway->port() },
                                                    ClientConnectionTimeouts());
        const HttpRequest request{
            method,
            path,
            { { "Host", "h" }, { "X-Kept", "yes" }, { "Lycheebay-Deadline-Ms", "5000" } },
            body
        };
        caller->send(serializeRequest(request), false, nullptr,
                     [answer](TransferResult result, HttpResponse response) {
                         *answer = { true, result, std::move(response) };
                     });
        m_callers.push_back(caller);
        return answer;
    }

    HttpResponse wait(const std::shared_ptr<Answer> &answer)
    {
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return answer->came; }));
        CPPUNIT_ASSERT(answer->result == TransferResult::Answered);
        return answer->response;
    }

    int totalRuns() const
    {
        int n = 0;
        for (const auto &it : m_targets)
            n += it->runs;
        return n;
    }

public:
    void setUp() override
    {
        m_loop = std::make_unique<LoopFixture>();
        m_random = std::make_unique<SeededRandom>(1);
        m_blackboard = std::make_unique<GatewayBlackboard>();
        m_metrics = std::make_unique<GatewayMetrics>();
        GatewaySettings settings;
        settings.instanceId = "self";
        settings.region = "r";
        settings.failureDomain = "d";
        settings.regions = { { "d", "r" } };
        settings.retryBudget = { 0.2, 100, 10s };
        m_gateway =
                std::make_unique<Gateway>(m_loop->context, m_loop->timers, m_loop->clock, *m_random,
                                          m_protocol, *m_blackboard, *m_metrics, settings);
        CPPUNIT_ASSERT(m_gateway->start({ "127.0.0.1", 0 }).ok());
    }

    void tearDown() override
    {
        for (const auto &it : m_callers)
            it->close();
        m_callers.clear();
        m_gateway.reset();
        for (const auto &it : m_targets) {
            it->kept.clear();
            it->timers.clear();
        }
        m_targets.clear();
        m_loop.reset();
    }

    void requestReachesATargetUnchanged()
    {
        publishConfiguration();
        Target &target = addTarget(Behaviour::Answer);
        const HttpResponse response = wait(ask("/order/a?b=c", "POST", "body"));
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"by":"target"})"), response.body);
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), target.last.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/order/a?b=c"), target.last.target);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), target.last.body);
        CPPUNIT_ASSERT_EQUAL(std::string("yes"), *findHeader(target.last.headers, "X-Kept"));
        const int deadline = std::stoi(*findHeader(target.last.headers, "Lycheebay-Deadline-Ms"));
        CPPUNIT_ASSERT(deadline > 0 && deadline <= 2000);
    }

    void withoutConfigurationNothingHasRun()
    {
        CPPUNIT_ASSERT(!m_gateway->isReady());
        const HttpResponse response = wait(ask("/lookup/a"));
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(findHeader(response.headers, "Retry-After"));
    }

    void unknownRouteIsRejected()
    {
        publishConfiguration();
        CPPUNIT_ASSERT(m_gateway->isReady());
        CPPUNIT_ASSERT_EQUAL(404, wait(ask("/nothing/a")).status);
    }

    void shedRequestGoesToAnotherTarget()
    {
        publishConfiguration();
        addTarget(Behaviour::Shed);
        Target &answers = addTarget(Behaviour::Answer);
        for (int i = 0; i < 6; ++i)
            CPPUNIT_ASSERT_EQUAL(200, wait(ask("/order/a", "POST")).status);
        CPPUNIT_ASSERT_EQUAL(6, answers.runs);
    }

    void lostIdempotentRequestIsSentAgain()
    {
        publishConfiguration();
        addTarget(Behaviour::Lose);
        addTarget(Behaviour::Answer);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT_EQUAL(200, wait(ask("/lookup/a")).status);
    }

    // Guards against an order that runs twice, and against "not run" being said of one that may
    // have run.
    void lostOrderIsNotSentAgain()
    {
        publishConfiguration();
        addTarget(Behaviour::Lose);
        addTarget(Behaviour::Lose);
        CPPUNIT_ASSERT_EQUAL(502, wait(ask("/order/a", "POST")).status);
        CPPUNIT_ASSERT_EQUAL(1, totalRuns());
    }

    void orderThatCouldNotBeSentHasNotRun()
    {
        publishConfiguration();
        Target &target = addTarget(Behaviour::Answer);
        CPPUNIT_ASSERT_EQUAL(200, wait(ask("/order/a", "POST")).status);
        target.listener->stopAccepting();
        target.listener->closeAll();
        const HttpResponse response = wait(ask("/order/a", "POST"));
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT_EQUAL(1, totalRuns());
    }

    void slowAnswerIsOvertakenByASecondTarget()
    {
        publishConfiguration(5s);
        Target &hangs = addTarget(Behaviour::Hang);
        addTarget(Behaviour::Hang);
        const auto answer = ask("/lookup/a");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return totalRuns() == 1; }));
        Target &first = hangs.runs == 1 ? hangs : *m_targets[1];
        for (const auto &it : m_targets)
            it->behaviour = Behaviour::Answer;
        CPPUNIT_ASSERT_EQUAL(200, wait(answer).status);
        CPPUNIT_ASSERT_EQUAL(2, totalRuns());
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return first.cancelled == 1; }));
    }

    // Guards against a run that is cut because it takes long while no other target may serve it.
    void runningRequestIsNotCutForAnUnusualWait()
    {
        publishConfiguration(5s, 200ms);
        Target &target = addTarget(Behaviour::SlowAnswer);
        target.delay = 1500ms;
        CPPUNIT_ASSERT_EQUAL(200, wait(ask("/lookup/a")).status);
        CPPUNIT_ASSERT_EQUAL(1, target.runs);
        CPPUNIT_ASSERT_EQUAL(0, target.cancelled);
    }

    void timeoutOfTheRouteIsAnswered()
    {
        publishConfiguration(500ms);
        addTarget(Behaviour::Hang);
        const TimePoint start = m_loop->clock.now();
        const HttpResponse response = wait(ask("/order/a", "POST"));
        CPPUNIT_ASSERT_EQUAL(504, response.status);
        CPPUNIT_ASSERT(m_loop->clock.now() - start >= 490ms);
    }

    void callerThatLeavesCancelsItsLookup()
    {
        publishConfiguration(20s);
        Target &target = addTarget(Behaviour::Hang);
        ask("/lookup/a");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return target.runs == 1; }));
        m_callers.back()->close();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return target.cancelled == 1; }));
    }

    // Guards against an order that is cut after it may have taken effect.
    void orderOfACallerThatLeftRunsOn()
    {
        publishConfiguration(5s);
        Target &target = addTarget(Behaviour::SlowAnswer);
        target.delay = 300ms;
        ask("/order/a", "POST");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return target.runs == 1; }));
        m_callers.back()->close();
        target.behaviour = Behaviour::Answer;
        CPPUNIT_ASSERT_EQUAL(200, wait(ask("/order/b", "POST")).status);
        m_loop->runUntil(
                [&, end = m_loop->clock.now() + 400ms] { return m_loop->clock.now() > end; });
        CPPUNIT_ASSERT_EQUAL(0, target.cancelled);
    }

    void leavingInstanceFinishesAndThenEnds()
    {
        publishConfiguration(3s);
        Target &target = addTarget(Behaviour::SlowAnswer);
        target.delay = 500ms;
        const auto answer = ask("/order/a", "POST");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return target.runs == 1; }));
        m_gateway->beginShutdown();
        CPPUNIT_ASSERT(!m_gateway->isReady());
        CPPUNIT_ASSERT(!m_gateway->shouldExit());
        const HttpResponse response = wait(answer);
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("close"), *findHeader(response.headers, "Connection"));
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_gateway->shouldExit(); }));
    }

    // Guards against a request that is held until the process of a leaving instance ends.
    void leavingInstanceDoesNotWaitForTheTargetList()
    {
        struct NeverRecent final : public ITargetListRefresher
        {
            void whenUpToDate(std::function<void()>) override {}
            void markInUse() override {}
        };
        NeverRecent refresher;
        m_gateway->setTargetListRefresher(&refresher);
        publishConfiguration(30s);
        addTarget(Behaviour::Answer);
        m_gateway->beginShutdown();
        CPPUNIT_ASSERT_EQUAL(503, wait(ask("/order/a", "POST")).status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

} // namespace lycheebay
