#include "gateway/dispatcherselector.h"
#include "base/manualclock.h"
#include "base/seededrandom.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace lycheebay {

using namespace std::chrono_literals;

class DispatcherSelectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatcherSelectorTest);
    CPPUNIT_TEST(nearestDispatcherIsChosenFirst);
    CPPUNIT_TEST(homeRegionsAreEnforced);
    CPPUNIT_TEST(refusalsHoldADispatcherAndHalveItsWindow);
    CPPUNIT_TEST(refusalsOfRequestsUnderWayCountOnce);
    CPPUNIT_TEST(acceptedRequestsWidenTheWindow);
    CPPUNIT_TEST(requestThatWouldBeLateIsNotForwarded);
    CPPUNIT_TEST(requestThatMustLeaveGetsADispatcherWithoutRoom);
    CPPUNIT_TEST(unreachableDispatcherIsLeftAlone);
    CPPUNIT_TEST(shortageOfAllDispatchersCostsFewMessages);
    CPPUNIT_TEST(requestsAreSpreadBySlots);
    CPPUNIT_TEST(stateIsKeptWhenTheListChanges);
    CPPUNIT_TEST_SUITE_END();

    ManualClock m_clock;
    SeededRandom m_random{ 5 };
    DispatcherSelector m_selector{ m_random };

    static RemoteDispatcher dispatcher(const std::string &id, const std::string &region,
                                       Proximity proximity, int slots = 10)
    {
        return { id, { id, 80 }, region, proximity, slots };
    }

    ForwardRequest request(ForwardReason reason = ForwardReason::NoRoom) const
    {
        return { reason, {}, {}, m_clock.now() + 1s };
    }

    std::string chosen(const ForwardRequest &wanted)
    {
        const auto it = m_selector.select(wanted, m_clock.now());
        return it ? it->instanceId : std::string();
    }

    void refuse(const std::string &id, Duration retryAfter = 200ms)
    {
        m_selector.recordSent(id);
        m_selector.recordResult(id, ForwardResult::Refused, retryAfter, 10ms, m_clock.now());
    }

    /// Sends requests until no dispatcher is left and returns how many were sent.
    int fillWindows()
    {
        int n = 0;
        for (std::string id = chosen(request()); !id.empty(); id = chosen(request())) {
            m_selector.recordSent(id);
            ++n;
        }
        return n;
    }

public:
    void nearestDispatcherIsChosenFirst()
    {
        m_selector.setDispatchers({ dispatcher("far", "b", Proximity::OtherRegion),
                                    dispatcher("near", "a", Proximity::SameRegion),
                                    dispatcher("next", "a", Proximity::SameDomain) });
        CPPUNIT_ASSERT_EQUAL(std::string("next"), chosen(request()));
        refuse("next");
        CPPUNIT_ASSERT_EQUAL(std::string("near"), chosen(request()));
        refuse("near");
        CPPUNIT_ASSERT_EQUAL(std::string("far"), chosen(request()));
    }

    void homeRegionsAreEnforced()
    {
        m_selector.setDispatchers({ dispatcher("a1", "a", Proximity::SameRegion),
                                    dispatcher("b1", "b", Proximity::OtherRegion) });
        ForwardRequest wanted = request(ForwardReason::HomeRegion);
        wanted.homeRegions = { "b" };
        CPPUNIT_ASSERT_EQUAL(std::string("b1"), chosen(wanted));
        refuse("b1");
        wanted.triedInstances = { "b1" };
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(wanted));
    }

    void refusalsHoldADispatcherAndHalveItsWindow()
    {
        m_selector.setDispatchers({ dispatcher("b1", "b", Proximity::OtherRegion) });
        const int before = fillWindows();
        for (int i = 0; i < before; ++i)
            m_selector.recordResult("b1", ForwardResult::Abandoned, {}, {}, m_clock.now());
        refuse("b1", 300ms);
        m_clock.advance(299ms);
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(request()));
        m_clock.advance(1ms);
        CPPUNIT_ASSERT_EQUAL(before / 2, fillWindows());
    }

    // Fails if one moment without room, seen by several requests, closes the window altogether.
    void refusalsOfRequestsUnderWayCountOnce()
    {
        m_selector.setDispatchers({ dispatcher("b1", "b", Proximity::OtherRegion) });
        const int before = fillWindows();
        for (int i = 0; i < before; ++i)
            m_selector.recordResult("b1", ForwardResult::Refused, 100ms, 10ms, m_clock.now());
        m_clock.advance(100ms);
        CPPUNIT_ASSERT_EQUAL(before / 2, fillWindows());
    }

    void acceptedRequestsWidenTheWindow()
    {
        m_selector.setDispatchers({ dispatcher("b1", "b", Proximity::OtherRegion) });
        const int before = fillWindows();
        for (int i = 0; i < before; ++i)
            m_selector.recordResult("b1", ForwardResult::Accepted, {}, 50ms, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(2 * before, fillWindows());
    }

    void requestThatWouldBeLateIsNotForwarded()
    {
        m_selector.setDispatchers({ dispatcher("b1", "b", Proximity::OtherRegion) });
        ForwardRequest wanted = request();
        wanted.latestStart = m_clock.now() + 1ms;
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(wanted));
    }

    // No target of this region may serve it, so that waiting here would not help.
    void requestThatMustLeaveGetsADispatcherWithoutRoom()
    {
        m_selector.setDispatchers({ dispatcher("b1", "b", Proximity::OtherRegion) });
        refuse("b1", 1s);
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(request()));
        CPPUNIT_ASSERT_EQUAL(std::string("b1"), chosen(request(ForwardReason::HomeRegion)));
    }

    void unreachableDispatcherIsLeftAlone()
    {
        m_selector.setDispatchers({ dispatcher("b1", "b", Proximity::OtherRegion) });
        m_selector.recordSent("b1");
        m_selector.recordResult("b1", ForwardResult::Unreachable, 0ms, 250ms, m_clock.now());
        m_clock.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(request()));
        m_clock.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::string("b1"), chosen(request()));
    }

    // Fails if each request without room is offered to all dispatchers although all refuse.
    void shortageOfAllDispatchersCostsFewMessages()
    {
        m_selector.setDispatchers({ dispatcher("b1", "b", Proximity::OtherRegion),
                                    dispatcher("b2", "b", Proximity::OtherRegion) });
        int messages = 0;
        constexpr int kRequests = 1000;
        for (int i = 0; i < kRequests; ++i) {
            m_clock.advance(5ms);
            const std::string id = chosen(request());
            if (id.empty())
                continue;
            ++messages;
            refuse(id, 200ms);
        }
        CPPUNIT_ASSERT(messages <= kRequests / 10);
    }

    void requestsAreSpreadBySlots()
    {
        m_selector.setDispatchers({ dispatcher("b1", "b", Proximity::OtherRegion, 30),
                                    dispatcher("b2", "b", Proximity::OtherRegion, 10),
                                    dispatcher("b3", "b", Proximity::OtherRegion, 0) });
        std::map<std::string, int> counts;
        for (int i = 0; i < 4000; ++i)
            ++counts[chosen(request())];
        CPPUNIT_ASSERT(counts["b1"] > 2800 && counts["b1"] < 3200);
        CPPUNIT_ASSERT_EQUAL(0, counts["b3"]);
    }

    void stateIsKeptWhenTheListChanges()
    {
        m_selector.setDispatchers({ dispatcher("b1", "b", Proximity::OtherRegion) });
        refuse("b1", 500ms);
        m_selector.setDispatchers({ dispatcher("b1", "b", Proximity::OtherRegion, 20) });
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(request()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherSelectorTest);

} // namespace lycheebay
