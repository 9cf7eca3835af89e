#include "gateway/gateway.h"
#include "base/seededrandom.h"
#include "gateway/internal/crashmonitor.h"
#include "gateway/lycheebayprotocol.h"
#include "http/httpserialization.h"
#include "http/tests/endlessserver.h"
#include "http/tests/heapbytes.h"
#include "http/tests/loopfixture.h"
#include "http/tests/rawserver.h"

#include <asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace lycheebay {

using namespace std::chrono_literals;

namespace {

constexpr char kLimitHeader[] = "Test-Limit";

constexpr char kLeavingHeader[] = "Test-Leaving";
constexpr char kPauseHeader[] = "Test-Pause-Ms";

constexpr char kAttemptHeader[] = "Test-Attempt";

/// The protocol of lycheebay with fields for the limit of a target, its leaving, a pause, and the
/// attempt that it answers.
class TestProtocol final : public LycheebayProtocol
{
public:
    ResponseMetadata readResponseMetadata(const HttpResponse &response) const override
    {
        ResponseMetadata metadata = LycheebayProtocol::readResponseMetadata(response);
        if (const std::string *limit = findHeader(response.headers, kLimitHeader))
            metadata.requestLimit = std::stod(*limit);
        if (const std::string *id = findHeader(response.headers, kAttemptHeader))
            metadata.attemptId = *id;
        metadata.leaving = findHeader(response.headers, kLeavingHeader) != nullptr;
        if (const std::string *pause = findHeader(response.headers, kPauseHeader))
            metadata.pause = std::chrono::milliseconds(std::stoi(*pause));
        return metadata;
    }
};

} // namespace

/// Runs a Gateway with callers and targets on the same event loop.
class GatewayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(requestIsForwardedUnchanged);
    CPPUNIT_TEST(requestIsRefusedWithoutConfiguration);
    CPPUNIT_TEST(unknownRouteIsRejected);
    CPPUNIT_TEST(rejectedRequestIsSentToAnotherTarget);
    CPPUNIT_TEST(retrySlackIsNotUsedWithoutAnInstanceList);
    CPPUNIT_TEST(limitThatATargetNamesHoldsUntilAnAnswerNamesNone);
    CPPUNIT_TEST(idempotentRequestIsRetriedAfterConnectionLoss);
    CPPUNIT_TEST(atMostOnceRequestIsNotRetriedAfterConnectionLoss);
    CPPUNIT_TEST(atMostOnceRequestThatWasNotSentIsRefused);
    CPPUNIT_TEST(repeatedRejectionIsNotTakenForTheNextAnswer);
    CPPUNIT_TEST(rejectionAfterAnotherAnswerDoesNotProveThatARequestWasNotRun);
    CPPUNIT_TEST(statusOfATargetThatMayHaveRunTheRequestPromisesNothing);
    CPPUNIT_TEST(requestThatCrashesItsTargetsIsRefused);
    CPPUNIT_TEST(crashAfterAnInterimResponseIsNoticed);
    CPPUNIT_TEST(crashAfterAPartOfAResponseIsNoticed);
    CPPUNIT_TEST(repeatBeforeTheVerdictCrashesNoFurtherTarget);
    CPPUNIT_TEST(serverErrorDoesNotClearASuspect);
    CPPUNIT_TEST(queuedSuspectIsNotPlaced);
    CPPUNIT_TEST(manyLossesAtOnceAreAllJudged);
    CPPUNIT_TEST(targetThatFallsSilentIsNoticedWhileOthersAnswer);
    CPPUNIT_TEST(silenceOfAllTargetsIsNoCrash);
    CPPUNIT_TEST(lostConnectionToARunningTargetIsNoCrash);
    CPPUNIT_TEST(suspectOfAnotherInstanceIsRefused);
    CPPUNIT_TEST(targetThatSaysItLeavesGetsNoNewRequests);
    CPPUNIT_TEST(pauseOfATargetIsKeptAndIsNoFailure);
    CPPUNIT_TEST(slowIdempotentRequestIsHedged);
    CPPUNIT_TEST(slowRequestWithoutOtherTargetIsNotCancelled);
    CPPUNIT_TEST(routeTimeoutIsAnswered);
    CPPUNIT_TEST(callerDisconnectCancelsIdempotentRequest);
    CPPUNIT_TEST(callerDisconnectDoesNotCancelAtMostOnceRequest);
    CPPUNIT_TEST(callerThatLeavesBeforeTheTargetListIsKnownIsNoticed);
    CPPUNIT_TEST(answerWithAnInvalidStatusIsNotPassedOn);
    CPPUNIT_TEST(answerWithAMalformedHeadIsNotPassedOn);
    CPPUNIT_TEST(answerWithMalformedChunksIsNotPassedOn);
    CPPUNIT_TEST(partOfAnAnswerToAnUploadIsNotPassedOn);
    CPPUNIT_TEST(endlessAnswerOfAnAtMostOnceRequestIsUnknown);
    CPPUNIT_TEST(endlessAnswersLeaveLookupsToOtherTargets);
    CPPUNIT_TEST(manyEndlessAnswersAreBoundedTogether);
    CPPUNIT_TEST(drippedAnswerEndsWithTheRouteTimeout);
    CPPUNIT_TEST(endlessProbeAnswerTakesTheTargetOut);
    CPPUNIT_TEST(shutdownCompletesRequestsThenExits);
    CPPUNIT_TEST(shutdownDoesNotWaitForTheTargetList);
    CPPUNIT_TEST(requestsThatComeDuringTheGracePeriodAreAnswered);
    CPPUNIT_TEST(queuedOrderIsNotSentShortlyBeforeTheExit);
    CPPUNIT_TEST(runningRequestIsAnsweredBeforeTheExit);
    CPPUNIT_TEST_SUITE_END();

    enum class Behaviour { Answer, Reject, CloseConnection, Hang, SlowAnswer, Fail, Crash };

    /// A target whose behaviour a test may change while it runs.
    struct Target
    {
        std::unique_ptr<HttpListener> listener;
        /// Takes the place of the listener if set.
        std::unique_ptr<EndlessServer> endless;
        std::unique_ptr<RawServer> raw;
        Behaviour behaviour = Behaviour::Answer;
        Duration delay{};
        int runs = 0;
        int cancelled = 0;
        HttpRequest last;
        /// Status of Behaviour::Fail.
        int failureStatus = 500;
        /// Requests per second that the answers name as the limit.
        std::string limit;
        bool leaving = false;
        /// Pause in milliseconds that the rejections name.
        std::string pause;
        int rejections = 0;
        std::int64_t startedAtMs = 0;
        std::vector<IntrusivePtr<HttpExchange>> heldExchanges;
        std::vector<TimerSubscription> timers;
    };

    struct Answer
    {
        bool received = false;
        TransferResult result = TransferResult::Lost;
        HttpResponse response;
    };

    std::unique_ptr<LoopFixture> m_loop;
    std::unique_ptr<SeededRandom> m_random;
    std::unique_ptr<GatewayBlackboard> m_blackboard;
    std::unique_ptr<GatewayMetrics> m_metrics;
    std::unique_ptr<Gateway> m_gateway;
    TestProtocol m_protocol;
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
        case Behaviour::Reject:
            ++target.rejections;
            response = rejection();
            if (!target.pause.empty())
                response.headers.push_back({ kPauseHeader, target.pause });
            exchange->respond(response);
            return;
        case Behaviour::CloseConnection:
            ++target.runs;
            asio::post(m_loop->context, [&target] { target.listener->closeAll(); });
            target.heldExchanges.push_back(exchange);
            return;
        case Behaviour::Hang:
            ++target.runs;
            exchange->onCallerGone([&target] { ++target.cancelled; });
            target.heldExchanges.push_back(exchange);
            return;
        case Behaviour::SlowAnswer:
            ++target.runs;
            exchange->onCallerGone([&target] { ++target.cancelled; });
            target.timers.push_back(m_loop->timers.after(
                    target.delay, [exchange, response] { exchange->respond(response); }));
            return;
        case Behaviour::Crash:
            ++target.runs;
            asio::post(m_loop->context, [&target] {
                target.listener->stopAccepting();
                target.listener->closeAll();
            });
            target.heldExchanges.push_back(exchange);
            return;
        case Behaviour::Fail:
            ++target.runs;
            response.status = target.failureStatus;
            exchange->respond(response);
            return;
        case Behaviour::Answer:
            ++target.runs;
            if (!target.limit.empty())
                response.headers.push_back({ kLimitHeader, target.limit });
            if (target.leaving)
                response.headers.push_back({ kLeavingHeader, "1" });
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

    static HttpResponse rejection()
    {
        HttpResponse response = loadResponse();
        response.status = 503;
        response.headers.push_back({ "Lycheebay-Not-Run", "1" });
        return response;
    }

    static std::string serialized(const HttpResponse &response)
    {
        return serializeResponse(response, HttpRequest{}, false);
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

    /// Adds a target that answers probes, and requests without end.
    EndlessServer &addEndlessTarget(const std::string &start, const std::string &repeated,
                                    Duration pause = Duration::zero())
    {
        m_targets.push_back(std::make_unique<Target>());
        m_targets.back()->endless =
                std::make_unique<EndlessServer>(*m_loop, start, repeated, pause);
        m_targets.back()->endless->answer("GET /health", serialized(loadResponse()));
        publishTargets();
        return *m_targets.back()->endless;
    }

    /// Adds a target that answers probes, and ends when it gets a request, after it has sent
    /// \a bytes.
    void addTargetThatCrashesAfter(const std::string &bytes)
    {
        m_targets.push_back(std::make_unique<Target>());
        Target &target = *m_targets.back();
        target.raw = std::make_unique<RawServer>(*m_loop, [this, &target,
                                                           bytes](std::string_view request, int) {
            if (request.starts_with("GET /health"))
                return serialized(loadResponse());
            ++target.runs;
            target.timers.push_back(m_loop->timers.after(5ms, [&target] { target.raw->end(); }));
            return bytes;
        });
        publishTargets();
    }

    /// Checks that each of \a answers is replaced by a 502, for lookups and orders alike, and that
    /// right answers of the same targets are passed on.
    void checkNotPassedOn(const std::vector<std::string> &answers)
    {
        publishConfiguration();
        std::string answer;
        const auto reply = [&answer](std::string_view request, int) {
            const bool isBroken = request.find("/broken") != std::string_view::npos;
            return isBroken ? answer : serialized(loadResponse());
        };
        // A lookup is sent to both.
        for (int i = 0; i < 2; ++i) {
            m_targets.push_back(std::make_unique<Target>());
            m_targets.back()->raw = std::make_unique<RawServer>(*m_loop, reply);
        }
        publishTargets();
        for (std::size_t i = 0; i < answers.size(); ++i) {
            answer = answers[i];
            for (const char *path : { "/lookup/", "/order/" }) {
                const std::string broken = path + std::string("broken") + std::to_string(i);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, 502,
                                             waitForResponse(sendRequest(broken)).status);
                for (int n = 0; n < 2; ++n)
                    CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest(path)).status);
            }
        }
    }

    /// Checks that a request whose targets crash after they have sent \a bytes is refused once the
    /// first crashes are known.
    void checkCrashAfter(const std::string &bytes)
    {
        publishConfiguration();
        for (int i = 0; i < 4; ++i)
            addTargetThatCrashesAfter(bytes);
        CPPUNIT_ASSERT_EQUAL(502, waitForResponse(sendRequest("/lookup/poison")).status);
        m_loop->runFor(600ms);
        CPPUNIT_ASSERT_EQUAL(503, waitForResponse(sendRequest("/lookup/poison")).status);
        CPPUNIT_ASSERT_EQUAL(2, totalRuns());
    }

    void publishSuspect(const std::string &path, int crashCount)
    {
        const HttpRequest request{ "GET", path, { { "Host", "h" } }, {} };
        auto report = makeRef<InstanceReport>();
        report->crashSuspects = { { fingerprintOf(request), crashCount, 30s, {} } };
        m_blackboard->peerReports.publish(IntrusivePtr<const InstanceReport>(report));
    }

    static Address addressOf(const Target &target)
    {
        if (target.endless)
            return target.endless->address();
        return target.raw ? target.raw->address() : Address{ "127.0.0.1", target.listener->port() };
    }

    void publishTargets()
    {
        auto list = makeRef<TargetList>();
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            TargetRecord it;
            it.id = "t" + std::to_string(i);
            it.service = "s";
            const Target &target = *m_targets[i];
            it.address = addressOf(target);
            it.failureDomain = "d";
            it.slots = 3;
            it.startedAtMs = target.startedAtMs;
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

    std::shared_ptr<Answer> sendRequest(const std::string &path, const std::string &method = "GET",
                                        const std::string &body = {})
    {
        auto answer = std::make_shared<Answer>();
        auto caller = makeRef<HttpClientConnection>(m_loop->context, m_loop->timers, m_loop->clock,
                                                    Address{ "127.0.0.1", m_gateway->port() },
                                                    ClientConnectionOptions());
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

    HttpResponse waitForResponse(const std::shared_ptr<Answer> &answer)
    {
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return answer->received; }));
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
        // The ratio alone lets a single request be retried.
        settings.retryBudget = { 2, 100, 10s };
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
            it->endless.reset();
            it->raw.reset();
            it->heldExchanges.clear();
            it->timers.clear();
        }
        m_targets.clear();
        m_loop.reset();
    }

    void requestIsForwardedUnchanged()
    {
        publishConfiguration();
        Target &target = addTarget(Behaviour::Answer);
        const HttpResponse response = waitForResponse(sendRequest("/order/a?b=c", "POST", "body"));
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"by":"target"})"), response.body);
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), target.last.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/order/a?b=c"), target.last.target);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), target.last.body);
        CPPUNIT_ASSERT_EQUAL(std::string("yes"), *findHeader(target.last.headers, "X-Kept"));
        const int deadline = std::stoi(*findHeader(target.last.headers, "Lycheebay-Deadline-Ms"));
        CPPUNIT_ASSERT(deadline > 0 && deadline <= 2000);
    }

    void requestIsRefusedWithoutConfiguration()
    {
        CPPUNIT_ASSERT(!m_gateway->isReady());
        const HttpResponse response = waitForResponse(sendRequest("/lookup/a"));
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(findHeader(response.headers, "Retry-After"));
    }

    void unknownRouteIsRejected()
    {
        publishConfiguration();
        CPPUNIT_ASSERT(m_gateway->isReady());
        CPPUNIT_ASSERT_EQUAL(404, waitForResponse(sendRequest("/nothing/a")).status);
    }

    void rejectedRequestIsSentToAnotherTarget()
    {
        publishConfiguration();
        addTarget(Behaviour::Reject);
        Target &answers = addTarget(Behaviour::Answer);
        for (int i = 0; i < 6; ++i)
            CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/order/a", "POST")).status);
        CPPUNIT_ASSERT_EQUAL(6, answers.runs);
    }

    void limitThatATargetNamesHoldsUntilAnAnswerNamesNone()
    {
        Target &target = addTarget(Behaviour::Answer);
        target.limit = "0.5";
        publishConfiguration();
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/lookup/1")).status);
        std::vector<std::shared_ptr<Answer>> answers;
        for (int i = 0; i < 8; ++i)
            answers.push_back(sendRequest("/lookup/1"));
        const auto answered = [&](int status) {
            return std::count_if(answers.begin(), answers.end(), [&](const auto &it) {
                return it->received && it->response.status == status;
            });
        };
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return answered(200) + answered(503) == 8; }));
        CPPUNIT_ASSERT(answered(200) <= 2);
        CPPUNIT_ASSERT_EQUAL(static_cast<long>(target.runs - 1), answered(200));
        target.limit.clear();
        // The pause keeps the refused callers from using up the connections of the gateway.
        while (waitForResponse(sendRequest("/lookup/1")).status != 200)
            m_loop->runFor(10ms);
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/lookup/1")).status);
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/lookup/1")).status);
    }

    void retrySlackIsNotUsedWithoutAnInstanceList()
    {
        m_gateway->updateSettings({ 0, 100, 10s }, 6s);
        addTarget(Behaviour::Reject);
        addTarget(Behaviour::Reject);
        publishConfiguration();
        CPPUNIT_ASSERT_EQUAL(503, waitForResponse(sendRequest("/lookup/1")).status);
        CPPUNIT_ASSERT(m_metrics->render().find(R"(attempts_total{verdict="shed"} 1)")
                       != std::string::npos);
    }

    void idempotentRequestIsRetriedAfterConnectionLoss()
    {
        publishConfiguration();
        addTarget(Behaviour::CloseConnection);
        addTarget(Behaviour::Answer);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/lookup/a")).status);
    }

    // Fails if an at-most-once request runs twice, or if "not run" is reported although it may have
    // run.
    void atMostOnceRequestIsNotRetriedAfterConnectionLoss()
    {
        publishConfiguration();
        addTarget(Behaviour::CloseConnection);
        addTarget(Behaviour::CloseConnection);
        CPPUNIT_ASSERT_EQUAL(502, waitForResponse(sendRequest("/order/a", "POST")).status);
        CPPUNIT_ASSERT_EQUAL(1, totalRuns());
    }

    void atMostOnceRequestThatWasNotSentIsRefused()
    {
        publishConfiguration();
        Target &target = addTarget(Behaviour::Answer);
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/order/a", "POST")).status);
        target.listener->stopAccepting();
        target.listener->closeAll();
        const HttpResponse response = waitForResponse(sendRequest("/order/a", "POST"));
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT_EQUAL(1, totalRuns());
    }

    void repeatedRejectionIsNotTakenForTheNextAnswer()
    {
        int runs = 0;
        std::optional<int> rejectedOn;
        Target &target = *m_targets.emplace_back(std::make_unique<Target>());
        target.raw = std::make_unique<RawServer>(
                *m_loop, [&](std::string_view bytes, int connection) -> std::string {
                    if (bytes.starts_with("GET /health"))
                        return serialized(loadResponse());
                    if (!rejectedOn) {
                        rejectedOn = connection;
                        return serialized(rejection());
                    }
                    ++runs;
                    const std::string answer = serialized(loadResponse());
                    return connection == *rejectedOn ? serialized(rejection()) + answer : answer;
                });
        publishTargets();
        publishConfiguration();
        CPPUNIT_ASSERT_EQUAL(503, waitForResponse(sendRequest("/order/1", "POST")).status);
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/order/2", "POST")).status);
        CPPUNIT_ASSERT_EQUAL(1, runs);
    }

    void rejectionAfterAnotherAnswerDoesNotProveThatARequestWasNotRun()
    {
        HttpResponse other = loadResponse();
        other.headers.push_back({ kAttemptHeader, "other" });
        addEndlessTarget(serialized(other) + serialized(rejection()), {});
        publishConfiguration();
        CPPUNIT_ASSERT_EQUAL(502, waitForResponse(sendRequest("/order/1", "POST")).status);
    }

    void slowIdempotentRequestIsHedged()
    {
        publishConfiguration(5s);
        Target &hangs = addTarget(Behaviour::Hang);
        addTarget(Behaviour::Hang);
        const auto answer = sendRequest("/lookup/a");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return totalRuns() == 1; }));
        Target &first = hangs.runs == 1 ? hangs : *m_targets[1];
        for (const auto &it : m_targets)
            it->behaviour = Behaviour::Answer;
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(answer).status);
        CPPUNIT_ASSERT_EQUAL(2, totalRuns());
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return first.cancelled == 1; }));
    }

    // Fails if a slow request is cancelled although no other target can serve it.
    void slowRequestWithoutOtherTargetIsNotCancelled()
    {
        publishConfiguration(5s, 200ms);
        Target &target = addTarget(Behaviour::SlowAnswer);
        target.delay = 1500ms;
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/lookup/a")).status);
        CPPUNIT_ASSERT_EQUAL(1, target.runs);
        CPPUNIT_ASSERT_EQUAL(0, target.cancelled);
    }

    // Fails if a request is sent to a target although its caller left while it waited for the list
    // of targets, as after a pause of the process (GONE, fresh-b6a1 of 125 instances).
    void callerThatLeavesBeforeTheTargetListIsKnownIsNoticed()
    {
        struct HeldRequests final : public ITargetListRefresher
        {
            void whenUpToDate(std::function<void()> done) override { held.push_back(done); }
            void markInUse() override {}
            std::vector<std::function<void()>> held;
        };
        HeldRequests refresher;
        m_gateway->setTargetListRefresher(&refresher);
        publishConfiguration();
        Target &target = addTarget(Behaviour::Answer);
        sendRequest("/lookup/left");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return refresher.held.size() == 1; }));
        m_callers.back()->close();
        const auto answer = sendRequest("/lookup/stays");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return refresher.held.size() == 2; }));
        for (const auto &it : refresher.held)
            it();
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(answer).status);
        CPPUNIT_ASSERT_EQUAL(1, target.runs);
        refresher.held.clear();
        m_gateway->setTargetListRefresher(nullptr);
    }

    void answerWithAnInvalidStatusIsNotPassedOn()
    {
        std::vector<std::string> answers;
        for (const char *status : { "000", "00", "099", "20", "600", "999" }) {
            answers.push_back("HTTP/1.1 " + std::string(status)
                              + " Text\r\nContent-Length: 2\r\n\r\nok");
        }
        checkNotPassedOn(answers);
    }

    void answerWithAMalformedHeadIsNotPassedOn()
    {
        const std::string end = "Content-Length: 2\r\n\r\nok";
        checkNotPassedOn({
                "HTTP/3.0 200 OK\r\n" + end,
                "HTTP/1.1 200 OK\r\nX Y: z\r\n" + end,
                "HTTP/1.1 200 OK\r\nX : z\r\n" + end,
                "HTTP/1.1 200 OK\r\nX\x01: z\r\n" + end,
                "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nlong",
        });
    }

    void answerWithMalformedChunksIsNotPassedOn()
    {
        checkNotPassedOn({
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndataXX0\r\n\r\n",
        });
    }

    void partOfAnAnswerToAnUploadIsNotPassedOn()
    {
        publishConfiguration(15s);
        for (int i = 0; i < 2; ++i)
            addEndlessTarget("HTTP/1.1 200 OK\r\n\r\npart", "").resetAfter(20ms);
        const std::string body(20UL << 20U, 'x');
        for (const char *path : { "/lookup/a", "/order/a" })
            CPPUNIT_ASSERT_EQUAL(502, waitForResponse(sendRequest(path, "POST", body)).status);
    }

    // Fails if bytes without end occupy the instance until the deadline, or if "not run" is said of
    // a request that the target may have run.
    void endlessAnswerOfAnAtMostOnceRequestIsUnknown()
    {
        publishConfiguration(15s);
        const EndlessServer &endless = addEndlessTarget("", "HTTP/1.1 100 Continue\r\n\r\n");
        const TimePoint start = m_loop->clock.now();
        CPPUNIT_ASSERT_EQUAL(502, waitForResponse(sendRequest("/order/a", "POST")).status);
        CPPUNIT_ASSERT(m_loop->clock.now() - start < 10s);
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return endless.isClosedByPeer(); }));
    }

    void endlessAnswersLeaveLookupsToOtherTargets()
    {
        publishConfiguration(15s);
        addEndlessTarget("HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x'));
        Target &answers = addTarget(Behaviour::Answer);
        for (int i = 0; i < 6; ++i)
            CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/lookup/a")).status);
        CPPUNIT_ASSERT_EQUAL(6, answers.runs);
    }

    // Guards against an instance that runs out of memory, with the requests of all its callers,
    // because a service is in trouble.
    void manyEndlessAnswersAreBoundedTogether()
    {
        publishConfiguration(15s, 15s);
        for (int i = 0; i < 40; ++i) {
            addEndlessTarget("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                             "4\r\nBAD!\r\n");
        }
        const std::size_t heapAtStart = heapBytes();
        std::size_t maxHeapBytes = heapAtStart;
        std::vector<std::shared_ptr<Answer>> answers;
        for (int i = 0; i < 150; ++i)
            answers.push_back(sendRequest("/order/" + std::to_string(i), "POST"));
        CPPUNIT_ASSERT(m_loop->runUntil([&] {
            maxHeapBytes = std::max(maxHeapBytes, heapBytes());
            return std::all_of(answers.begin(), answers.end(),
                               [](const auto &it) { return it->received; });
        }));
        for (const auto &it : answers)
            CPPUNIT_ASSERT(it->response.status >= 502 && it->response.status <= 504);
        const std::size_t added = maxHeapBytes - heapAtStart;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(added), added < 96UL << 20U);
        m_targets.clear();
        addTarget(Behaviour::Answer);
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/order/a", "POST")).status);
    }

    void drippedAnswerEndsWithTheRouteTimeout()
    {
        publishConfiguration(500ms);
        addEndlessTarget("HTTP/1.1 200 OK\r\nX: ", "x", 20ms);
        CPPUNIT_ASSERT_EQUAL(504, waitForResponse(sendRequest("/order/a", "POST")).status);
    }

    void endlessProbeAnswerTakesTheTargetOut()
    {
        publishConfiguration();
        EndlessServer &endless = addEndlessTarget("", "HTTP/1.1 100 Continue\r\n\r\n");
        endless.answer("GET /none", "-");
        CPPUNIT_ASSERT_EQUAL(503, waitForResponse(sendRequest("/order/a", "POST")).status);
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return endless.isClosedByPeer(); }));
    }

    void routeTimeoutIsAnswered()
    {
        publishConfiguration(500ms);
        addTarget(Behaviour::Hang);
        const TimePoint start = m_loop->clock.now();
        const HttpResponse response = waitForResponse(sendRequest("/order/a", "POST"));
        CPPUNIT_ASSERT_EQUAL(504, response.status);
        CPPUNIT_ASSERT(m_loop->clock.now() - start >= 490ms);
    }

    void callerDisconnectCancelsIdempotentRequest()
    {
        publishConfiguration(20s);
        Target &target = addTarget(Behaviour::Hang);
        sendRequest("/lookup/a");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return target.runs == 1; }));
        m_callers.back()->close();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return target.cancelled == 1; }));
    }

    // Guards against a caller that sends an order again after it has run, because the target's
    // status says that it has not (review, case 2).
    void statusOfATargetThatMayHaveRunTheRequestPromisesNothing()
    {
        publishConfiguration();
        Target &target = addTarget(Behaviour::Fail);
        for (const int status : { 503, 429, 408 }) {
            target.failureStatus = status;
            target.runs = 0;
            CPPUNIT_ASSERT_EQUAL(502, waitForResponse(sendRequest("/order/a", "POST")).status);
            CPPUNIT_ASSERT_EQUAL(1, target.runs);
        }
        // Statuses that promise nothing are passed on, and so are those of idempotent requests.
        target.failureStatus = 500;
        CPPUNIT_ASSERT_EQUAL(500, waitForResponse(sendRequest("/order/a", "POST")).status);
        target.failureStatus = 429;
        CPPUNIT_ASSERT_EQUAL(429, waitForResponse(sendRequest("/lookup/a")).status);
    }

    // Guards against a request that crashes one target after another each time it comes (review,
    // case 4). Until the first crashes are confirmed it has its usual retry.
    void requestThatCrashesItsTargetsIsRefused()
    {
        publishConfiguration();
        for (int i = 0; i < 6; ++i)
            addTarget(Behaviour::Crash);
        CPPUNIT_ASSERT_EQUAL(502, waitForResponse(sendRequest("/lookup/poison")).status);
        CPPUNIT_ASSERT_EQUAL(2, totalRuns());
        m_loop->runFor(600ms);
        for (int i = 0; i < 3; ++i) {
            const HttpResponse response = waitForResponse(sendRequest("/lookup/poison"));
            CPPUNIT_ASSERT_EQUAL(503, response.status);
            CPPUNIT_ASSERT(std::stod(*findHeader(response.headers, "Retry-After")) > 10);
        }
        CPPUNIT_ASSERT_EQUAL(2, totalRuns());
        // Other requests are served, and one that meets a crash by chance has its retry.
        for (std::size_t i = 1; i < m_targets.size(); ++i)
            m_targets[i]->behaviour = Behaviour::Answer;
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/lookup/other")).status);
    }

    void crashAfterAnInterimResponseIsNoticed()
    {
        checkCrashAfter("HTTP/1.1 103 Early Hints\r\n\r\n");
    }

    void crashAfterAPartOfAResponseIsNoticed()
    {
        checkCrashAfter("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nfirst bytes");
    }

    void repeatBeforeTheVerdictCrashesNoFurtherTarget()
    {
        publishConfiguration();
        for (int i = 0; i < 6; ++i)
            addTarget(Behaviour::Crash);
        for (int i = 0; i < 6; ++i)
            CPPUNIT_ASSERT(waitForResponse(sendRequest("/lookup/poison")).status != 200);
        CPPUNIT_ASSERT_EQUAL(2, totalRuns());
    }

    // A faulty target may answer 500 to everything.
    void serverErrorDoesNotClearASuspect()
    {
        publishConfiguration();
        addTarget(Behaviour::Fail);
        addTarget(Behaviour::Fail);
        CPPUNIT_ASSERT_EQUAL(500, waitForResponse(sendRequest("/lookup/a")).status);
        CPPUNIT_ASSERT_EQUAL(2, totalRuns());
        publishSuspect("/lookup/a", 2);
        CPPUNIT_ASSERT_EQUAL(503, waitForResponse(sendRequest("/lookup/a")).status);
        CPPUNIT_ASSERT_EQUAL(2, totalRuns());
    }

    void queuedSuspectIsNotPlaced()
    {
        publishConfiguration();
        Target &target = addTarget(Behaviour::Hang);
        const auto first = sendRequest("/order/1", "POST");
        const auto second = sendRequest("/order/2", "POST");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return target.runs == 2; }));
        const auto queued = sendRequest("/lookup/a");
        m_loop->runFor(30ms);
        CPPUNIT_ASSERT(!queued->received);
        publishSuspect("/lookup/a", 2);
        target.behaviour = Behaviour::Answer;
        for (const IntrusivePtr<HttpExchange> &it : target.heldExchanges)
            it->respond(loadResponse());
        CPPUNIT_ASSERT_EQUAL(503, waitForResponse(queued).status);
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(second).status);
        CPPUNIT_ASSERT_EQUAL(2, target.runs);
    }

    void manyLossesAtOnceAreAllJudged()
    {
        Target &target = addTarget(Behaviour::Answer);
        const TargetRecord record = m_blackboard->targets.read()->targets[0];
        const auto connections =
                makeRef<TargetConnections>(m_loop->context, m_loop->timers, m_loop->clock, record);
        target.listener->stopAccepting();
        DecisionLog log(m_loop->clock, 0);
        CrashMonitor monitor(m_loop->context, m_loop->timers, m_loop->clock, m_protocol,
                             *m_blackboard, *m_metrics, log);
        constexpr Fingerprint kRequests = 100;
        for (Fingerprint it = 1; it <= kRequests; ++it)
            monitor.recordLostAttempt({ it, m_loop->clock.now(), {} }, connections, "/health");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return !monitor.isUndecided(1); }));
        for (Fingerprint it = 1; it <= kRequests; ++it)
            CPPUNIT_ASSERT(monitor.isSuspected(it));
    }

    /// Sends a request four times to targets that fall silent once they run it; returns the runs.
    /// The targets answer other requests before that, which come beside it if \a othersAnswer.
    int runsOnSilentTargets(bool othersAnswer)
    {
        constexpr int kTargets = 6;
        publishConfiguration(600ms, 100ms);
        for (int i = 0; i < kTargets; ++i) {
            Target &target = *m_targets.emplace_back(std::make_unique<Target>());
            target.raw = std::make_unique<RawServer>(
                    *m_loop, [this, &target](std::string_view request, int) {
                        if (request.starts_with("GET /lookup/poison"))
                            ++target.runs;
                        return target.runs > 0 ? std::string() : serialized(loadResponse());
                    });
        }
        publishTargets();
        const auto timer = m_loop->timers.every(30ms, [this, othersAnswer] {
            if (othersAnswer)
                sendRequest("/order/other", "POST");
        });
        m_loop->runFor(200ms);
        for (int i = 0; i < 4; ++i) {
            waitForResponse(sendRequest("/lookup/poison"));
            m_loop->runFor(2200ms);
        }
        return totalRuns();
    }

    void targetThatFallsSilentIsNoticedWhileOthersAnswer()
    {
        const int runs = runsOnSilentTargets(true);
        CPPUNIT_ASSERT(runs >= 2);
        CPPUNIT_ASSERT(runs <= 3);
    }

    void silenceOfAllTargetsIsNoCrash()
    {
        runsOnSilentTargets(false);
        CPPUNIT_ASSERT(m_metrics->render().find(R"(crash_checks_total{verdict="crashed"})")
                       == std::string::npos);
    }

    // Guards against refusing requests because full targets reset connections.
    void lostConnectionToARunningTargetIsNoCrash()
    {
        publishConfiguration();
        addTarget(Behaviour::CloseConnection);
        addTarget(Behaviour::CloseConnection);
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT_EQUAL(502, waitForResponse(sendRequest("/lookup/a")).status);
            m_loop->runFor(500ms);
        }
        CPPUNIT_ASSERT(totalRuns() > 3);
    }

    // Guards against each instance sacrificing targets of its own to the same request.
    void suspectOfAnotherInstanceIsRefused()
    {
        publishConfiguration();
        addTarget(Behaviour::Answer);
        publishSuspect("/lookup/a", 2);
        CPPUNIT_ASSERT_EQUAL(503, waitForResponse(sendRequest("/lookup/a")).status);
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/lookup/b")).status);
    }

    // Guards against requests to a target that has said that it leaves, because the platform still
    // lists it as ready.
    void targetThatSaysItLeavesGetsNoNewRequests()
    {
        publishConfiguration();
        Target &target = addTarget(Behaviour::Answer);
        target.leaving = true;
        std::vector<std::string> reported;
        m_blackboard->reports.subscribe([&](const IntrusivePtr<const InstanceReport> &it) {
            reported.insert(reported.end(), it->leavingTargets.begin(), it->leavingTargets.end());
        });
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/order/a", "POST")).status);
        CPPUNIT_ASSERT(reported == std::vector<std::string>{ "t0@0" });
        // Refused at once, also after the platform has listed the target as ready again.
        target.leaving = false;
        publishTargets();
        CPPUNIT_ASSERT_EQUAL(503, waitForResponse(sendRequest("/order/b", "POST")).status);
        const Target &other = addTarget(Behaviour::Answer);
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/order/c", "POST")).status);
        CPPUNIT_ASSERT_EQUAL(1, target.runs);
        CPPUNIT_ASSERT_EQUAL(1, other.runs);
        // Another incarnation at the same address is used.
        target.startedAtMs = 5;
        m_targets[1]->startedAtMs = 5;
        publishTargets();
        m_targets[1]->behaviour = Behaviour::Reject;
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/order/d", "POST")).status);
        CPPUNIT_ASSERT_EQUAL(2, target.runs);
    }

    // Guards against requests to a target during the pause that it has named, and against a verdict
    // on its health that keeps it out after that.
    void pauseOfATargetIsKeptAndIsNoFailure()
    {
        publishConfiguration();
        Target &target = addTarget(Behaviour::Reject);
        target.pause = "300";
        for (int round = 1; round <= 5; ++round) {
            const TimePoint start = m_loop->clock.now();
            CPPUNIT_ASSERT_EQUAL(503, waitForResponse(sendRequest("/order/a", "POST")).status);
            CPPUNIT_ASSERT_EQUAL(round, target.rejections);
            CPPUNIT_ASSERT_EQUAL(503, waitForResponse(sendRequest("/order/a", "POST")).status);
            CPPUNIT_ASSERT_EQUAL(round, target.rejections);
            m_loop->runUntil([&] { return m_loop->clock.now() > start + 600ms; });
        }
        target.behaviour = Behaviour::Answer;
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/order/a", "POST")).status);
    }

    // Fails if an at-most-once request is cancelled after it may have taken effect.
    void callerDisconnectDoesNotCancelAtMostOnceRequest()
    {
        publishConfiguration(5s);
        Target &target = addTarget(Behaviour::SlowAnswer);
        target.delay = 300ms;
        sendRequest("/order/a", "POST");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return target.runs == 1; }));
        m_callers.back()->close();
        target.behaviour = Behaviour::Answer;
        CPPUNIT_ASSERT_EQUAL(200, waitForResponse(sendRequest("/order/b", "POST")).status);
        m_loop->runUntil(
                [&, end = m_loop->clock.now() + 400ms] { return m_loop->clock.now() > end; });
        CPPUNIT_ASSERT_EQUAL(0, target.cancelled);
    }

    void shutdownCompletesRequestsThenExits()
    {
        publishConfiguration(3s);
        Target &target = addTarget(Behaviour::SlowAnswer);
        target.delay = 500ms;
        const auto answer = sendRequest("/order/a", "POST");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return target.runs == 1; }));
        m_gateway->beginShutdown();
        CPPUNIT_ASSERT(!m_gateway->isReady());
        CPPUNIT_ASSERT(!m_gateway->shouldExit());
        const HttpResponse response = waitForResponse(answer);
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("close"), *findHeader(response.headers, "Connection"));
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_gateway->shouldExit(); }));
    }

    // Guards against requests that are accepted late in the grace period and cut at its end.
    // Reported by operators of a similar system.
    void requestsThatComeDuringTheGracePeriodAreAnswered()
    {
        publishConfiguration(400ms);
        m_gateway->updateSettings({ 2, 100, 10s }, 1500ms);
        for (int i = 0; i < 8; ++i) {
            Target &target = addTarget(Behaviour::SlowAnswer);
            target.delay = 250ms;
        }
        std::vector<std::shared_ptr<Answer>> answers;
        m_gateway->beginShutdown();
        while (!m_gateway->shouldExit()) {
            answers.push_back(sendRequest("/order/a", "POST"));
            m_loop->runFor(30ms);
        }
        int served = 0;
        int refused = 0;
        for (const auto &it : answers) {
            if (!it->received || it->result != TransferResult::Answered)
                continue;
            served += it->response.status == 200 ? 1 : 0;
            refused += it->response.status == 503 ? 1 : 0;
        }
        // The last request may still be on its way to the gateway.
        CPPUNIT_ASSERT(served + refused >= static_cast<int>(answers.size()) - 1);
        CPPUNIT_ASSERT(served > 10 && refused > 5);
        CPPUNIT_ASSERT_EQUAL(totalRuns(), served);
    }

    // Guards against an order that waits in the queue when the process is stopped, is sent to a
    // target when little of the grace period is left, and is cut without an answer.
    void queuedOrderIsNotSentShortlyBeforeTheExit()
    {
        publishConfiguration(30s, 6s);
        m_gateway->updateSettings({ 2, 100, 10s }, 1500ms);
        Target &target = addTarget(Behaviour::SlowAnswer);
        target.delay = 1s;
        std::vector<std::shared_ptr<Answer>> running;
        for (int i = 0; i < 2; ++i) {
            running.push_back(sendRequest("/order/a", "POST"));
            CPPUNIT_ASSERT(m_loop->runUntil([&] { return target.runs == i + 1; }));
        }
        const auto queued = sendRequest("/order/b", "POST");
        m_loop->runFor(50ms);
        CPPUNIT_ASSERT(!queued->received);
        m_gateway->beginShutdown();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_gateway->shouldExit(); }));
        for (const auto &it : running)
            CPPUNIT_ASSERT_EQUAL(200, waitForResponse(it).status);
        CPPUNIT_ASSERT(queued->received && queued->result == TransferResult::Answered);
        CPPUNIT_ASSERT_EQUAL(503, queued->response.status);
        CPPUNIT_ASSERT_EQUAL(2, target.runs);
    }

    // Guards against a connection that is closed without an answer when the process exits.
    void runningRequestIsAnsweredBeforeTheExit()
    {
        publishConfiguration(30s);
        m_gateway->updateSettings({ 2, 100, 10s }, 1s);
        Target &target = addTarget(Behaviour::Hang);
        const auto answer = sendRequest("/order/a", "POST");
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return target.runs == 1; }));
        m_gateway->beginShutdown();
        CPPUNIT_ASSERT(m_loop->runUntil([&] { return m_gateway->shouldExit(); }));
        CPPUNIT_ASSERT(answer->received && answer->result == TransferResult::Answered);
        CPPUNIT_ASSERT_EQUAL(504, answer->response.status);
    }

    // Fails if a request is held until the process exits because the refresher does not call back.
    void shutdownDoesNotWaitForTheTargetList()
    {
        struct NeverUpToDate final : public ITargetListRefresher
        {
            void whenUpToDate(std::function<void()>) override {}
            void markInUse() override {}
        };
        NeverUpToDate refresher;
        m_gateway->setTargetListRefresher(&refresher);
        publishConfiguration(30s);
        addTarget(Behaviour::Answer);
        m_gateway->beginShutdown();
        CPPUNIT_ASSERT_EQUAL(503, waitForResponse(sendRequest("/order/a", "POST")).status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

} // namespace lycheebay
